//! Order of the fleet's nodes, by which a rate is divided among them.

use std::collections::BTreeSet;

use crate::membership::hash_text;
use crate::types::NodeId;

/// Position of one node among all nodes, in the order of one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodePosition {
    /// Number of nodes that come before this one.
    pub index: usize,
    /// Number of nodes, this one included.
    pub count: usize,
}

/// Holds the nodes in a ring, in which each endpoint has a point from which nodes are counted.
///
/// All nodes that know the same nodes agree on every position. A node that is added or removed
/// moves no other node by more than one position.
#[derive(Clone, Debug, Default)]
pub struct NodeOrder {
    /// Points of all nodes, sorted.
    points: Vec<u64>,
    own: u64,
}

impl NodeOrder {
    /// Creates the order that `own` has for itself and `others`.
    pub fn new<'a>(own: &str, others: impl IntoIterator<Item = &'a NodeId>) -> Self {
        let own = node_point(own);
        let points: BTreeSet<u64> =
            others.into_iter().map(|node| node_point(node)).chain([own]).collect();
        Self { points: points.into_iter().collect(), own }
    }

    /// Returns the number of nodes, this one included; at least 1.
    pub fn count(&self) -> usize {
        self.points.len().max(1)
    }

    /// Returns the position of this node in the order that begins at `start`.
    pub fn position(&self, start: u64) -> NodePosition {
        let count = self.count();
        let first = self.points.partition_point(|point| *point < start);
        let own = self.points.partition_point(|point| *point < self.own);
        NodePosition { index: (own + count - first) % count, count }
    }
}

/// Returns the first `count` of `nodes` in the order that begins at `start`.
///
/// It is the order of [`NodeOrder::position`].
pub fn first_nodes(nodes: &[NodeId], start: u64, count: usize) -> Vec<NodeId> {
    let mut ordered = nodes.to_vec();
    ordered.sort_by_cached_key(|node| node_point(node).wrapping_sub(start));
    ordered.truncate(count);
    ordered
}

fn node_point(node: &str) -> u64 {
    hash_text(0, node)
}

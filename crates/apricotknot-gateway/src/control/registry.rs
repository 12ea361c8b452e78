//! The nodes of the system, as they find one another in the key-value service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use serde::Deserialize;
use serde::Serialize;

/// Start of the keys under which nodes announce themselves.
const NODE_PREFIX: &str = "apricotknot/nodes/";

/// Key of the secret with which nodes sign what they tell one another.
const SECRET_KEY: &str = "apricotknot/peer-secret";

/// Time for which a node that has left still counts for the limits that nodes share.
const REMOVED_NODE_RETENTION: Duration = Duration::from_secs(10);

/// Announces one node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeRecord {
    /// Address at which the node takes news.
    pub address: SocketAddr,
    /// Life of the node.
    pub incarnation: u64,
}

/// Tells what a change of one of the system's own keys means.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistryChange {
    /// A node announces itself.
    NodeAnnounced(NodeId, NodeRecord),
    /// A node has left.
    NodeRemoved(NodeId),
    /// Nodes sign with this secret.
    Secret(Vec<u8>),
}

#[derive(Clone, Debug)]
struct KnownNode {
    record: NodeRecord,
    removed_at: Option<MonotonicTime>,
}

/// Holds the nodes of the system, this one among them.
#[derive(Clone, Debug, Default)]
pub struct NodeRegistry {
    nodes: BTreeMap<NodeId, KnownNode>,
}

// Commands.
impl NodeRegistry {
    /// Adds a node or takes in what it announces anew.
    pub fn set(&mut self, node: NodeId, record: NodeRecord) {
        self.nodes.insert(node, KnownNode { record, removed_at: None });
    }

    /// Notes that a node is no longer announced.
    pub fn remove(&mut self, node: &str, now: MonotonicTime) {
        if let Some(known) = self.nodes.get_mut(node) {
            known.removed_at.get_or_insert(now);
        }
    }

    /// Notes that only `present` nodes are announced.
    pub fn retain(&mut self, present: &[NodeId], now: MonotonicTime) {
        for (node, known) in &mut self.nodes {
            if !present.contains(node) {
                known.removed_at.get_or_insert(now);
            }
        }
    }

    /// Forgets nodes that left long ago.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.nodes.retain(|_, known| {
            known.removed_at.is_none_or(|removed_at| removed_at + REMOVED_NODE_RETENTION > now)
        });
    }
}

// Queries.
impl NodeRegistry {
    /// Returns the number of nodes that may use a part of what all nodes share.
    pub fn count(&self) -> usize {
        self.nodes.len().max(1)
    }

    /// Returns the addresses of all nodes but `own`.
    pub fn peer_addresses<'a>(&'a self, own: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        let others = self.nodes.iter().filter(move |(node, _)| &***node != own);
        others.map(|(_, known)| known.record.address)
    }
}

/// Returns the key under which a node announces itself.
pub(super) fn node_key(node: &str) -> Arc<str> {
    format!("{NODE_PREFIX}{node}").into()
}

/// Returns the key of the secret.
pub(super) fn secret_key() -> Arc<str> {
    SECRET_KEY.into()
}

/// Reads a record of the system; `None` where it is another one's or cannot be read.
pub(super) fn parse_put(key: &str, value: &[u8]) -> Option<RegistryChange> {
    if key == SECRET_KEY {
        return Some(RegistryChange::Secret(value.to_vec()));
    }
    let node = key.strip_prefix(NODE_PREFIX)?;
    let record = serde_json::from_slice(value).ok()?;
    Some(RegistryChange::NodeAnnounced(node.into(), record))
}

/// Reads the removal of a key of the system.
pub(super) fn parse_delete(key: &str) -> Option<RegistryChange> {
    key.strip_prefix(NODE_PREFIX).map(|node| RegistryChange::NodeRemoved(node.into()))
}

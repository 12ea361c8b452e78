//! How the work of other nodes becomes known to a node.

/// Largest number of nodes that all send their load snapshots to one another directly.
const MAX_DIRECT_NODES: usize = 24;

/// How the work of other nodes becomes known to a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadKnowledge {
    /// All nodes send their snapshots to one another: each choice is known before the next one.
    Direct,
    /// Snapshots are sent within a data centre; those of others arrive in digests, a tenth of a second
    /// and more after the choice.
    Digests,
}

impl LoadKnowledge {
    /// Returns how nodes learn of one another's work in a fleet of `node_count` nodes.
    pub fn in_fleet_of(node_count: usize) -> Self {
        match node_count {
            ..=MAX_DIRECT_NODES => Self::Direct,
            _ => Self::Digests,
        }
    }
}

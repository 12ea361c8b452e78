//! Counts of one node, as it sends them to others.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::types::AccountId;
use crate::types::IncarnationNumber;
use crate::types::NodeId;
use crate::types::WindowNumber;

/// Holds what a node has counted in one window so far.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// Window in which the requests began to run.
    pub window: WindowNumber,
    /// Number of requests by account.
    pub counts: BTreeMap<AccountId, u64>,
}

/// Holds the counts of one incarnation of a node.
///
/// Counts never shrink, so snapshots can be lost, doubled and reordered: of two counts, the larger
/// one is newer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CountSnapshot {
    /// Node that counted.
    pub node: NodeId,
    /// Incarnation of the node; each one counts from zero.
    pub incarnation: IncarnationNumber,
    /// First window that may still grow; the counts of all earlier ones have been sent.
    pub first_open: WindowNumber,
    /// Counts by window; windows without any are left out.
    pub windows: Vec<WindowCounts>,
}

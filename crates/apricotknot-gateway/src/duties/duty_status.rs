//! What a node tells operators about a duty.

use apricotknot_core::types::FencingNumber;
use apricotknot_core::types::NodeId;
use serde::Serialize;

/// Describes one duty as a node knows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DutyStatus {
    /// Name of the duty.
    pub duty: &'static str,
    /// Node that holds it, if there is one.
    pub holder: Option<NodeId>,
    /// Fencing number of that node's term.
    pub fence: Option<FencingNumber>,
    /// Whether that node has given the duty up.
    pub is_released: bool,
    /// Whether the node that tells this may act.
    pub acts_here: bool,
    /// Time for which it may act already, in milliseconds.
    pub held_here_ms: Option<u64>,
}

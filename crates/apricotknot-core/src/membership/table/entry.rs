//! What the table keeps for each member and each probe under way.

use super::PeerTarget;
use crate::membership::MemberUpdate;
use crate::membership::PeerAddress;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Holds what is known of one member.
#[derive(Clone, Debug)]
pub(super) struct MemberEntry {
    pub(super) update: MemberUpdate,
    /// When the state began.
    pub(super) state_since: MonotonicTime,
    /// When the member last answered a probe of this node.
    pub(super) last_ack: Option<MonotonicTime>,
}

impl MemberEntry {
    pub(super) fn target(&self) -> PeerTarget {
        PeerTarget { node: self.update.node.clone(), address: self.update.address }
    }
}

/// Holds the probe under way.
#[derive(Clone, Debug)]
pub(super) struct ProbeAttempt {
    pub(super) sequence: u64,
    pub(super) target: NodeId,
    pub(super) started: MonotonicTime,
    pub(super) is_indirect: bool,
}

/// Holds a probe that this node makes for another.
#[derive(Clone, Debug)]
pub(super) struct ProbeRelay {
    pub(super) origin: PeerTarget,
    pub(super) origin_sequence: u64,
    pub(super) target: NodeId,
    pub(super) started: MonotonicTime,
}

/// Holds an address that may lead to a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct SeedAddress {
    pub(super) address: PeerAddress,
    /// Whether it comes from the settings and is never forgotten.
    pub(super) is_configured: bool,
}

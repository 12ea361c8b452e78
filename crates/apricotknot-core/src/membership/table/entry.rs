//! Entries of the member table: members, probes in flight and seed addresses.

use super::PeerTarget;
use crate::membership::MemberUpdate;
use crate::membership::PeerAddress;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Holds the state of one member in the table.
#[derive(Clone, Debug)]
pub(super) struct MemberEntry {
    pub(super) update: MemberUpdate,
    /// Time at which the present state began.
    pub(super) state_since: MonotonicTime,
    /// Time at which the member last acknowledged a ping of this node.
    pub(super) last_ack: Option<MonotonicTime>,
}

impl MemberEntry {
    pub(super) fn target(&self) -> PeerTarget {
        PeerTarget { node: self.update.node.clone(), address: self.update.address }
    }
}

/// Holds the probe of the present period.
#[derive(Clone, Debug)]
pub(super) struct ProbeAttempt {
    pub(super) sequence: u64,
    pub(super) target: NodeId,
    pub(super) started: MonotonicTime,
    pub(super) is_indirect: bool,
}

/// Holds an indirect probe that this node performs on behalf of another.
#[derive(Clone, Debug)]
pub(super) struct ProbeRelay {
    pub(super) origin: PeerTarget,
    pub(super) origin_sequence: u64,
    pub(super) target: NodeId,
    pub(super) started: MonotonicTime,
}

/// Holds an address at which a member may listen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct SeedAddress {
    pub(super) address: PeerAddress,
    /// Whether the address comes from the settings; such an address is never removed.
    pub(super) is_configured: bool,
}

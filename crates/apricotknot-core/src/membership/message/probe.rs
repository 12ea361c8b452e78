//! Probe messages and their piggybacked data.

use super::DrainNotice;
use super::MemberUpdate;
use super::PeerAddress;
use crate::types::EpochNumber;
use crate::types::NodeId;
use crate::types::RevisionNumber;

/// Kind of a probe message.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ProbeKind {
    /// Requests an acknowledgement.
    Ping,
    /// Acknowledges a ping.
    Ack,
    /// Requests that the receiver ping the target and relay its acknowledgement.
    IndirectPing,
    /// Announces that the sender leaves the fleet.
    Leave,
}

/// Summarises the state of the sender; piggybacked on each probe message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NodeSummary {
    /// Newest epoch that the sender knows.
    pub epoch: EpochNumber,
    /// Newest configuration revision that the sender has in force.
    pub revision: RevisionNumber,
    /// Digest of the members that the sender considers live.
    pub digest: u64,
    /// Revision that the coverage bits are about.
    pub coverage_revision: RevisionNumber,
    /// Epoch whose member list orders the coverage bits.
    pub coverage_epoch: EpochNumber,
    /// One bit for each listed member; set once the revision is known to be in force on it.
    pub coverage: Vec<u8>,
    /// Digest of the drain notices that the sender holds.
    pub drain_digest: u64,
    /// Digest of the configuration at `revision`; 0 while the sender has only a part of it.
    pub configuration_digest: u64,
}

/// Message of the failure detector, with piggybacked updates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeMessage {
    /// Kind of the message.
    pub kind: ProbeKind,
    /// Sequence number that a ping shares with its acknowledgement.
    pub sequence: u64,
    /// Description of the sender by itself.
    pub sender: MemberUpdate,
    /// Target of an indirect ping, or the member whose acknowledgement is relayed; otherwise empty.
    pub target: NodeId,
    /// Address of the target of an indirect ping.
    pub target_address: Option<PeerAddress>,
    /// Summary of the sender's state.
    pub summary: NodeSummary,
    /// Updates about members, bounded in number.
    pub updates: Vec<MemberUpdate>,
    /// Drain notices, bounded in number.
    pub notices: Vec<DrainNotice>,
}

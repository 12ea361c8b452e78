//! Probe messages and what rides on them.

use super::DrainNotice;
use super::MemberUpdate;
use super::PeerAddress;
use crate::types::EpochNumber;
use crate::types::NodeId;
use crate::types::RevisionNumber;

/// Says what a probe message asks or answers.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ProbeKind {
    /// Asks for an acknowledgement.
    Ping,
    /// Acknowledges a ping.
    Ack,
    /// Asks the receiver to ping the target and to pass on its acknowledgement.
    IndirectPing,
    /// Says that the sender leaves.
    Leave,
}

/// Holds the facts of fixed size that ride on each probe message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NodeSummary {
    /// Newest epoch that the sender knows.
    pub epoch: EpochNumber,
    /// Newest configuration revision that the sender has in force.
    pub revision: RevisionNumber,
    /// Digest of the members that the sender believes to be there.
    pub digest: u64,
    /// Revision that the coverage is about.
    pub coverage_revision: RevisionNumber,
    /// Epoch whose member list orders the bits of the coverage.
    pub coverage_epoch: EpochNumber,
    /// One bit for each listed member: set once the revision is known to be in force there.
    pub coverage: Vec<u8>,
    /// Digest of the drain orders that the sender holds.
    pub drain_digest: u64,
    /// Digest of the configuration at that revision; 0 while the sender is still filling it.
    pub configuration_digest: u64,
}

/// Holds one probe message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeMessage {
    /// What the message asks or answers.
    pub kind: ProbeKind,
    /// Number that a ping and its acknowledgement share.
    pub sequence: u64,
    /// The sender, as it describes itself.
    pub sender: MemberUpdate,
    /// Target of an indirect ping, or the member that an acknowledgement is passed on for. Empty in
    /// a ping to an address whose member is not known yet.
    pub target: NodeId,
    /// Address of the target of an indirect ping.
    pub target_address: Option<PeerAddress>,
    /// Facts of fixed size.
    pub summary: NodeSummary,
    /// News of other members, bounded in number.
    pub updates: Vec<MemberUpdate>,
    /// Drain orders, bounded in number.
    pub notices: Vec<DrainNotice>,
}

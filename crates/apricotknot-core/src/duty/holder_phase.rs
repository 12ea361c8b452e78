//! What one node does about a duty, and what it remembers of it.

use super::DutyLease;
use crate::types::FencingNumber;
use crate::types::MonotonicTime;
use crate::types::RevisionNumber;

/// Lease that was granted at a call sent at one time.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantedLease {
    pub(super) lease: DutyLease,
    /// Time at which the call was sent that last extended the lease.
    pub(super) sent_at: MonotonicTime,
}

/// The duty as this node holds it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tenure {
    pub(super) granted: GrantedLease,
    pub(super) fence: FencingNumber,
    /// Revision of the record, which the node wrote.
    pub(super) revision: RevisionNumber,
    /// Time from which the node may act: no former holder does any more.
    pub(super) acts_from: MonotonicTime,
    pub(super) next_renewal: MonotonicTime,
}

/// What a node does about a duty.
#[derive(Clone, Copy, Debug)]
pub(super) enum HolderPhase {
    /// Another node holds the duty, or this one waits for its turn.
    Waiting,
    /// A lease is to be granted.
    Granting,
    /// The record is to be written.
    Taking(GrantedLease),
    /// The record may have been written.
    Unsure(GrantedLease),
    /// The record is this node's.
    Holding(Tenure),
    /// The record is to be marked as released.
    Releasing(Tenure),
}

/// A call of the key-value service whose outcome is not known yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentCall {
    pub(super) sent_at: MonotonicTime,
    pub(super) is_release: bool,
}

/// Failed calls of the platform in a row.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlatformOutage {
    pub(super) since: MonotonicTime,
    pub(super) failures: u32,
}

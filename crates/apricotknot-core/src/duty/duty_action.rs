//! Calls of the key-value service that a holder asks for, and their outcomes.

use std::time::Duration;

use super::DutyContents;
use super::DutyLease;
use super::DutyRecord;
use crate::types::RevisionNumber;

/// One call of the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyAction {
    /// Grants a lease.
    Grant {
        /// Time after which the lease ends unless it is renewed.
        ttl: Duration,
    },
    /// Writes the record of the duty under a lease, if its last write was at `expected`.
    Write {
        /// Revision of the record that is replaced, or `None` if there must be none.
        expected: Option<RevisionNumber>,
        /// Record to write.
        record: DutyRecord,
        /// Lease that the record is bound to.
        lease: DutyLease,
    },
    /// Reads the key of the duty.
    Read,
    /// Renews the lease.
    Renew {
        /// Lease to renew.
        lease: DutyLease,
    },
}

/// Outcome of the call that was asked for last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyOutcome {
    /// The lease was granted.
    Granted(DutyLease),
    /// The record was written at this revision.
    Written(RevisionNumber),
    /// The record was not written, as the key is in another state; it is told if it is known.
    Conflict(Option<DutyContents>),
    /// The key was read.
    Read(DutyContents),
    /// The lease was renewed.
    Renewed,
    /// The lease has ended.
    Expired,
    /// The call was not carried out, and will not be.
    Refused,
    /// The call may have been carried out, or may still be.
    Unknown,
}

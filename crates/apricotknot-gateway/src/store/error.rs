//! Errors of the key-value service.

use std::time::Duration;

use apricotknot_core::types::RevisionNumber;
use thiserror::Error;

use super::EraNumber;

/// Reports whether a failed write may have taken effect.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WriteCertainty {
    /// The write did not and will not take effect.
    NotWritten,
    /// The write may have taken effect, or may still take effect.
    Unknown,
}

/// Groups the errors by what a caller can do about them.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum StoreErrorKind {
    /// The changes since the requested revision take too long to transfer.
    Backlog,
    /// The call rate limit of this node is reached; nothing was sent.
    BudgetSpent,
    /// The requested revision is no longer kept.
    Compacted,
    /// The answer did not follow the protocol.
    Malformed,
    /// The store refused the request.
    Rejected,
    /// The store is at an earlier revision than it was before.
    Reverted,
    /// No answer arrived in time.
    TimedOut,
    /// The value exceeds the store's size limit.
    TooLarge,
    /// The store is unreachable or reports an internal failure.
    Unavailable,
}

impl StoreErrorKind {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Backlog => "backlog",
            Self::BudgetSpent => "budget_spent",
            Self::Compacted => "compacted",
            Self::Malformed => "malformed",
            Self::Rejected => "rejected",
            Self::Reverted => "reverted",
            Self::TimedOut => "timed_out",
            Self::TooLarge => "too_large",
            Self::Unavailable => "unavailable",
        }
    }
}

/// Reports why a call of the key-value service failed.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// No connection could be established, so nothing was sent.
    #[error("cannot connect to the key-value service at {address}: {reason}; nothing was sent")]
    Unreachable {
        /// Address that was tried.
        address: String,
        /// What the connection attempt reported.
        reason: String,
    },
    /// The connection broke after sending began.
    #[error("lost the connection to the key-value service at {address}: {reason}")]
    Broken {
        /// Address that was called.
        address: String,
        /// What the connection reported.
        reason: String,
    },
    /// The store answered with a server error.
    #[error("the key-value service at {address} failed with status {status}: {reason}")]
    Failed {
        /// Address that was called.
        address: String,
        /// HTTP status.
        status: u16,
        /// Start of the answer's body.
        reason: String,
    },
    /// The store answered that it does not accept the request.
    #[error("the key-value service at {address} refused with status {status}: {reason}")]
    Rejected {
        /// Address that was called.
        address: String,
        /// HTTP status.
        status: u16,
        /// Start of the answer's body.
        reason: String,
    },
    /// No answer arrived in time.
    #[error("no answer from the key-value service within {limit:?}")]
    TimedOut {
        /// Longest time allowed for the call.
        limit: Duration,
    },
    /// The value exceeds the store's limit; nothing was sent.
    #[error("a value of {size} bytes for {key} exceeds the limit of {limit} bytes; split it")]
    TooLarge {
        /// Key of the value.
        key: String,
        /// Size of the value, in bytes.
        size: usize,
        /// Largest size allowed, in bytes.
        limit: usize,
    },
    /// The answer did not follow the protocol.
    #[error("cannot read the answer of the key-value service to {call}: {reason}")]
    Malformed {
        /// Name of the call that was answered.
        call: &'static str,
        /// What is wrong with the answer.
        reason: String,
    },
    /// The changes since the start of the watch are too many to be read one by one.
    #[error("the changes take longer than {limit:?} to transfer; read the range instead")]
    Backlog {
        /// Longest time allowed for the transfer.
        limit: Duration,
    },
    /// The watch started at a revision that is no longer kept.
    #[error("revision {revision} is no longer kept; the oldest is {oldest}; read the range again")]
    Compacted {
        /// Requested revision.
        revision: RevisionNumber,
        /// Oldest revision that the store keeps.
        oldest: RevisionNumber,
    },
    /// The store is at an earlier revision than it was before.
    #[error(
        "the key-value service went back from revision {held} to {found}; what was in force \
         stays in force; restore it with a revision above {held}"
    )]
    Reverted {
        /// Revision that was seen before.
        held: RevisionNumber,
        /// Revision that the store is at.
        found: RevisionNumber,
    },
    /// The store came back from an older copy since what the call refers to was read.
    #[error(
        "the key-value service came back from a copy: era {found} after {held}; what was read \
         before identifies nothing now; read the range again"
    )]
    Restored {
        /// Era that the call refers to.
        held: EraNumber,
        /// Era of the answer.
        found: EraNumber,
    },
    /// The answer to a creation was lost, and the key does not exist at present.
    #[error("{key} does not exist now, but its creation may still take effect")]
    Undecided {
        /// Key of the value.
        key: String,
    },
    /// The call rate limit of this node is reached; nothing was sent.
    #[error("the budget of {calls_per_second} store calls a second is spent; nothing was sent")]
    BudgetSpent {
        /// Limit of the node's calls, per second.
        calls_per_second: u32,
    },
}

impl StoreError {
    /// Returns the group of the error.
    pub fn kind(&self) -> StoreErrorKind {
        match self {
            Self::Unreachable { .. } | Self::Broken { .. } | Self::Failed { .. } => {
                StoreErrorKind::Unavailable
            },
            Self::Rejected { .. } => StoreErrorKind::Rejected,
            Self::Restored { .. } | Self::Reverted { .. } => StoreErrorKind::Reverted,
            Self::TimedOut { .. } | Self::Undecided { .. } => StoreErrorKind::TimedOut,
            Self::TooLarge { .. } => StoreErrorKind::TooLarge,
            Self::Malformed { .. } => StoreErrorKind::Malformed,
            Self::Backlog { .. } => StoreErrorKind::Backlog,
            Self::Compacted { .. } => StoreErrorKind::Compacted,
            Self::BudgetSpent { .. } => StoreErrorKind::BudgetSpent,
        }
    }

    /// Returns whether a write that failed with this error may have taken effect.
    pub fn certainty(&self) -> WriteCertainty {
        match self {
            Self::Unreachable { .. }
            | Self::Rejected { .. }
            | Self::Reverted { .. }
            | Self::TooLarge { .. }
            | Self::Backlog { .. }
            | Self::Compacted { .. }
            | Self::BudgetSpent { .. } => WriteCertainty::NotWritten,
            Self::Broken { .. }
            | Self::Failed { .. }
            | Self::TimedOut { .. }
            | Self::Restored { .. }
            | Self::Undecided { .. }
            | Self::Malformed { .. } => WriteCertainty::Unknown,
        }
    }
}

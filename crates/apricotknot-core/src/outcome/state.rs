//! What is known of attempts, and how a request may be handled.

use crate::types::ExecutionCertainty;
use crate::types::MonotonicTime;

/// Says how a request may be handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrackerPolicy {
    /// Whether running the request twice does no harm.
    pub repeatable: bool,
    /// Whether the endpoint can give the rest of an answer that broke off.
    pub resumable: bool,
    /// Moment by which the request must have ended.
    pub deadline: MonotonicTime,
}

/// Says what is known of one attempt.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AttemptState {
    /// No byte has left, or the endpoint refused before it began.
    NotSent,
    /// The endpoint may have begun.
    MayHaveRun,
    /// The endpoint began: it answered or reported a failure of its own.
    Answered,
}

impl AttemptState {
    /// Returns what may be said about execution.
    pub fn certainty(self) -> ExecutionCertainty {
        match self {
            Self::NotSent => ExecutionCertainty::No,
            Self::MayHaveRun => ExecutionCertainty::Unknown,
            Self::Answered => ExecutionCertainty::Yes,
        }
    }
}

/// Counts arrivals that were dropped.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DropCounts {
    /// Arrivals that carried the id of another attempt.
    pub wrong_attempt: u64,
    /// Arrivals that were forwarded before.
    pub duplicate: u64,
    /// Arrivals of attempts that were over.
    pub stale: u64,
}

//! State of an attempt, the policy of a request and the counts of dropped input.

use crate::types::ExecutionCertainty;
use crate::types::MonotonicTime;

/// Holds the rules by which the tracker retries, resumes and times out one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrackerPolicy {
    /// Whether the request may safely run more than once.
    pub repeatable: bool,
    /// Whether an endpoint can continue an answer after its connection broke.
    pub resumable: bool,
    /// Time at which the request times out.
    pub deadline: MonotonicTime,
}

/// Describes how far one attempt is known to have progressed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AttemptState {
    /// No byte was sent, or the endpoint refused the request before it started work.
    NotSent,
    /// Bytes were sent, so the endpoint may have started work.
    MayHaveRun,
    /// The endpoint sent a whole answer, so it ran the request.
    Answered,
}

impl AttemptState {
    /// Returns how certain it is that the endpoint executed the attempt.
    pub fn certainty(self) -> ExecutionCertainty {
        match self {
            Self::NotSent => ExecutionCertainty::No,
            Self::MayHaveRun => ExecutionCertainty::Unknown,
            Self::Answered => ExecutionCertainty::Yes,
        }
    }
}

/// Counts the heads and chunks of answers that were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DropCounts {
    /// Heads that carried the id of another attempt.
    pub wrong_attempt: u64,
    /// Chunks that were already forwarded.
    pub duplicate: u64,
    /// Heads, chunks and ends of attempts or connections that had ended.
    pub stale: u64,
}

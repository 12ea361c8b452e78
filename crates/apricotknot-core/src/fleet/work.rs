//! Work in progress at an endpoint.

use std::time::Duration;

use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::PriorityRank;
use crate::types::TokenCount;

/// Size of one request, in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestSize {
    /// Length of the prompt; zero for calls of plain services.
    pub prompt: TokenCount,
    /// Expected length of the answer.
    pub expected_output: TokenCount,
    /// Maximum length of the answer.
    pub max_output: TokenCount,
}

impl RequestSize {
    /// Returns the maximum key-value cache that the request may occupy, in tokens.
    ///
    /// Callers state both numbers, which may be as large as they like.
    pub fn memory(&self) -> TokenCount {
        self.prompt.saturating_add(self.max_output)
    }
}

/// Phase of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WorkPhase {
    /// The endpoint processes the prompt or the call; no part of the answer has arrived.
    Prefill,
    /// The endpoint generates the answer; its events are arriving.
    Decode,
}

/// Role of an endpoint in an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WorkRole {
    /// The endpoint runs the attempt and answers it.
    Runner,
    /// The endpoint prefills a part of the prompt for the runner, and may hold a part of the
    /// attempt's key-value cache.
    Helper,
}

/// Describes the work of one endpoint for one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkItem {
    /// Endpoint that does the work.
    pub endpoint: EndpointId,
    /// Role of the endpoint.
    pub role: WorkRole,
    /// Length of the whole prompt, in tokens.
    pub prompt: TokenCount,
    /// Memory that the work occupies at this endpoint, in tokens.
    pub memory: TokenCount,
    /// Time that the endpoint needs to prefill its part of the prompt.
    pub prefill_time: Duration,
    /// Phase of the attempt.
    pub phase: WorkPhase,
    /// Time at which the phase began: the attempt was sent, or its first event arrived.
    pub since: MonotonicTime,
    /// Longest pause between two events of the answer that still counts as on time.
    pub pause_limit: Duration,
    /// Rank of the request's priority.
    pub rank: PriorityRank,
}

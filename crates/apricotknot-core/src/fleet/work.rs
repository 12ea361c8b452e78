//! Work that is under way at an endpoint.

use std::time::Duration;

use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::TokenCount;

/// Tells how much one request asks of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestSize {
    /// Tokens of the prompt; zero for calls of plain services.
    pub prompt: TokenCount,
    /// Tokens that the answer is expected to have.
    pub expected_output: TokenCount,
    /// Most tokens that the answer may have.
    pub max_output: TokenCount,
}

impl RequestSize {
    /// Returns the most memory that the request holds, in tokens.
    pub fn memory(&self) -> TokenCount {
        self.prompt + self.max_output
    }
}

/// Says how far an attempt has come.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WorkPhase {
    /// No part of the answer has come.
    Prefill,
    /// Events of the answer come.
    Decode,
}

/// Says what an endpoint does for an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WorkRole {
    /// It runs the attempt.
    Runner,
    /// It reads a part of the prompt, and may hold it in its memory, for another endpoint.
    Helper,
}

/// Describes what one endpoint does for one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkItem {
    /// Endpoint that does it.
    pub endpoint: EndpointId,
    /// What it does.
    pub role: WorkRole,
    /// Tokens of the whole prompt.
    pub prompt: TokenCount,
    /// Memory that it holds, in tokens.
    pub memory: TokenCount,
    /// Time that it takes to read its part of the prompt.
    pub prefill_time: Duration,
    /// How far the attempt has come.
    pub phase: WorkPhase,
    /// Moment at which the attempt was sent, or began to be answered.
    pub since: MonotonicTime,
    /// Longest pause between events that is on time.
    pub pause_limit: Duration,
}

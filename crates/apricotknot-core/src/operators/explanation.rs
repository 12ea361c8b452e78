//! Explanation of the decisions that a node made about one request.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::types::NodeId;

/// Describes one decision about a request and its reason.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplanationStep {
    /// Time since the request arrived, in milliseconds.
    pub after_ms: u64,
    /// Decision, as text.
    pub decision: Arc<str>,
    /// Reason for the decision, as text.
    pub reason: Arc<str>,
}

/// Lists the decisions that a node made about one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestExplanation {
    /// Request id, as in the answer's `x-request-id` header.
    pub request: Arc<str>,
    /// Node that received the request from its caller.
    pub node: NodeId,
    /// Decisions, in the order in which they were made.
    pub steps: Vec<ExplanationStep>,
}

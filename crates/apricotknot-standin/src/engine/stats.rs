//! What tests may ask about an engine.

use std::collections::BTreeMap;

use apricotknot_core::types::TokenCount;
use serde::Serialize;

/// Counts what the engine did since its process started, over all its boots.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct EngineStats {
    /// Generations begun, by attempt.
    pub(super) executions: BTreeMap<String, u64>,
    /// Generations begun, by the caller's request.
    pub(super) executions_by_request: BTreeMap<String, u64>,
    /// Requests refused before work, by attempt.
    pub(super) refusals: BTreeMap<String, u64>,
    /// Generations that ended by themselves.
    pub(super) finished: u64,
    /// Generations that were cancelled.
    pub(super) cancelled: u64,
    /// Generations lost in a crash.
    pub(super) lost: u64,
    /// Reason of each crash.
    pub(super) crashes: Vec<&'static str>,
    /// Most key-value cache held at once, in tokens.
    pub(super) memory_peak: TokenCount,
    /// Most key-value cache that held requests could come to fill, in tokens.
    pub(super) committed_peak: TokenCount,
    /// Times that requests in hand could come to outgrow the memory.
    pub(super) over_committed: u64,
    /// Most generations in hand at once.
    pub(super) concurrent_peak: usize,
    /// Most generations in hand at once while cold.
    pub(super) cold_concurrent_peak: usize,
    /// Accepted orders, in turn.
    pub(super) orders: Vec<serde_json::Value>,
}

impl EngineStats {
    pub(super) fn record_start(&mut self, attempt_id: &str, request_id: Option<&str>) {
        *self.executions.entry(attempt_id.to_owned()).or_default() += 1;
        if let Some(request_id) = request_id {
            *self.executions_by_request.entry(request_id.to_owned()).or_default() += 1;
        }
    }

    pub(super) fn record_refusal(&mut self, attempt_id: &str) {
        *self.refusals.entry(attempt_id.to_owned()).or_default() += 1;
    }
}

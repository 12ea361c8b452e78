//! Counters of an engine that tests read.

use std::collections::BTreeMap;

use apricotknot_core::types::TokenCount;
use serde::Serialize;

/// Holds the engine's counters since its process started, across all restarts in place.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct EngineStats {
    /// Started generations by attempt.
    pub(super) executions: BTreeMap<String, u64>,
    /// Started generations by the caller's request.
    pub(super) executions_by_request: BTreeMap<String, u64>,
    /// Requests that were refused before they ran, by attempt.
    pub(super) refusals: BTreeMap<String, u64>,
    /// Generations that completed.
    pub(super) finished: u64,
    /// Generations that were cancelled.
    pub(super) cancelled: u64,
    /// Generations lost in a crash.
    pub(super) lost: u64,
    /// Reason of each crash.
    pub(super) crashes: Vec<&'static str>,
    /// Highest use of the key-value cache, in tokens.
    pub(super) memory_peak: TokenCount,
    /// Highest use of the key-value cache that the accepted generations could reach, in tokens.
    pub(super) committed_peak: TokenCount,
    /// Number of checks at which the accepted generations could exceed the memory.
    pub(super) over_committed: u64,
    /// Maximum number of concurrent generations.
    pub(super) concurrent_peak: usize,
    /// Maximum number of concurrent generations while the engine was cold.
    pub(super) cold_concurrent_peak: usize,
    /// Accepted orders, oldest first.
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

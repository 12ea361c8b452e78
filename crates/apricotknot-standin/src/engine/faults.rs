//! Faults that a test injects while the engine runs.

use std::time::Duration;

use serde::Deserialize;

/// Holds the injected faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct EngineFaults {
    /// Delay before the head of each answer, in milliseconds.
    pub(super) answer_delay_ms: u64,
    /// Number of answers to drop by closing the connection after the generation has finished.
    pub(super) drop_answers: u32,
    /// Number of answers without streaming to replace by the previous request's answer.
    pub(super) cross_answers: u32,
    /// Number of requests to refuse before they run.
    pub(super) refuse_requests: u32,
    /// Whether requests to cancel get no answer and have no effect.
    pub(super) ignore_cancel: bool,
}

impl EngineFaults {
    pub(super) fn answer_delay(&self) -> Duration {
        Duration::from_millis(self.answer_delay_ms)
    }
}

/// Decrements `count`; returns whether it was above zero.
pub(super) fn consume_one(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}

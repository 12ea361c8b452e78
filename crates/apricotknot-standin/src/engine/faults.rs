//! Faults that a test sets while the engine runs.

use std::time::Duration;

use serde::Deserialize;

/// Holds the faults in force.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct EngineFaults {
    /// Time before the head of each answer, in milliseconds.
    pub(super) answer_delay_ms: u64,
    /// Answers to drop after the generation has ended, by cutting the connection.
    pub(super) drop_answers: u32,
    /// Whole answers to replace by the answer to another request.
    pub(super) cross_answers: u32,
    /// Requests to refuse before work.
    pub(super) refuse_requests: u32,
    /// Whether cancellation is never confirmed.
    pub(super) ignore_cancel: bool,
}

impl EngineFaults {
    pub(super) fn answer_delay(&self) -> Duration {
        Duration::from_millis(self.answer_delay_ms)
    }
}

/// Takes one from `count`; returns whether there was one.
pub(super) fn consume_one(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}

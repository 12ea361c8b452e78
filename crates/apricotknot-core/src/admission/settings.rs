//! Settings of one pool's scheduler.

use std::time::Duration;

use crate::resources::AdmissionSpec;
use crate::types::EpochNumber;
use crate::types::FencingNumber;
use crate::types::PoolId;

/// Holds the limits and rates that one pool's scheduler works with.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// Names the pool.
    pub pool: PoolId,
    /// Epoch of the member list under which the pool is owned.
    pub epoch: EpochNumber,
    /// Fencing number of this ownership.
    pub fencing: FencingNumber,
    /// Limits that operators set for the whole fleet.
    pub spec: AdmissionSpec,
    /// Longest time between a grant and the start of its attempt.
    pub start_timeout: Duration,
    /// Time between two questions to an endpoint whether an attempt still holds memory.
    pub confirm_interval: Duration,
    /// Prompt tokens that an engine is assumed to process in a second.
    pub prefill_rate: u64,
    /// Time that an engine is assumed to need for each answer token.
    pub time_per_output_token: Duration,
    /// Time to first token that is timely on top of the prompt's own processing.
    pub first_token_slack: Duration,
    /// Longest time without a load report before an endpoint counts as cold.
    pub max_report_gap: Duration,
    /// Slow first tokens in a row after which an endpoint counts as cold.
    pub max_slow_answers: u32,
    /// Decisions kept for later questions.
    pub max_decisions: usize,
    /// Prompt blocks remembered for cache affinity.
    pub max_prefix_blocks: usize,
}

impl PoolSettings {
    /// Creates the default settings for `pool`.
    pub fn new(pool: impl Into<PoolId>) -> Self {
        Self {
            pool: pool.into(),
            epoch: 0,
            fencing: 0,
            spec: AdmissionSpec::default(),
            start_timeout: Duration::from_secs(2),
            confirm_interval: Duration::from_secs(1),
            prefill_rate: 20_000,
            time_per_output_token: Duration::from_millis(20),
            first_token_slack: Duration::from_secs(2),
            max_report_gap: Duration::from_secs(15),
            max_slow_answers: 3,
            max_decisions: 4_096,
            max_prefix_blocks: 65_536,
        }
    }

    /// Sets the epoch and fencing number that new grants carry.
    pub fn ownership(mut self, epoch: EpochNumber, fencing: FencingNumber) -> Self {
        self.epoch = epoch;
        self.fencing = fencing;
        self
    }

    /// Sets the limits that operators set for the whole fleet.
    pub fn spec(mut self, spec: AdmissionSpec) -> Self {
        self.spec = spec;
        self
    }

    /// Returns the longest time a request may wait in the queue.
    pub fn queue_timeout(&self) -> Duration {
        Duration::from_millis(self.spec.queue_timeout_ms)
    }

    /// Returns the time that a prompt of `tokens` tokens takes on an otherwise idle engine.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let rate = self.prefill_rate.max(1);
        Duration::from_micros(tokens.saturating_mul(1_000_000) / rate)
    }
}

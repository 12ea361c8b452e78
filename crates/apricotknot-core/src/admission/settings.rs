//! Settings of the scheduler of one pool.

use std::time::Duration;

use crate::resources::AdmissionSpec;
use crate::types::EpochNumber;
use crate::types::FencingNumber;
use crate::types::PoolId;

/// Holds the limits and assumed rates of the scheduler of one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// Name of the pool.
    pub pool: PoolId,
    /// Epoch of the member list under which this node owns the pool.
    pub epoch: EpochNumber,
    /// Fencing number of this ownership.
    pub fencing: FencingNumber,
    /// Admission limits that operators set for the whole fleet.
    pub spec: AdmissionSpec,
    /// Longest time between a grant and the start of its attempt; a later start is not allowed.
    pub start_timeout: Duration,
    /// Time before the first repeat of a request to an endpoint to cancel an ended attempt and
    /// confirm that it holds no memory; the time doubles with each repeat, up to a limit.
    pub confirm_interval: Duration,
    /// Prompt tokens that an engine is assumed to process per second.
    pub prefill_rate: u64,
    /// Time that an engine is assumed to need for each output token.
    pub time_per_output_token: Duration,
    /// Time allowed to the first token in addition to the prefill time of the prompt; a later first
    /// token counts as slow.
    pub first_token_slack: Duration,
    /// Longest time without a load report or an answer; after it, an endpoint that has sent load
    /// reports counts as cold.
    pub max_report_gap: Duration,
    /// Consecutive slow first tokens after which an endpoint counts as cold.
    pub max_slow_answers: u32,
    /// Decisions kept for [`PoolScheduler::explain`](super::PoolScheduler::explain).
    pub max_decisions: usize,
    /// Prompt blocks kept in the prefix index for cache affinity.
    pub max_prefix_blocks: usize,
}

impl PoolSettings {
    /// Creates default settings for `pool`, with epoch and fencing number 0.
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

    /// Sets the admission limits of the whole fleet.
    pub fn spec(mut self, spec: AdmissionSpec) -> Self {
        self.spec = spec;
        self
    }

    /// Returns the longest time that a request may wait in the queue.
    pub fn queue_timeout(&self) -> Duration {
        Duration::from_millis(self.spec.queue_timeout_ms)
    }

    /// Returns the prefill time of a prompt of `tokens` tokens on an otherwise idle engine.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let rate = self.prefill_rate.max(1);
        Duration::from_micros(tokens.saturating_mul(1_000_000) / rate)
    }
}

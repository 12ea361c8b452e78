//! How a model engine spends its time.

use std::time::Duration;

use crate::types::TokenCount;

/// Describes the time and memory that work takes on one kind of model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory: TokenCount,
    /// Time of one token step, in milliseconds.
    pub step_ms: f64,
    /// Time that each writing request adds to a step, in milliseconds.
    pub stream_ms: f64,
    /// Time that each 1,000 tokens of context add to a step, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_rate: f64,
    /// Time for a million pairs of a token and an earlier one, in milliseconds.
    pub attention_ms: f64,
    /// Token steps between two events of a stream.
    pub steps_per_event: u32,
}

impl EngineModel {
    /// Returns the time that an idle engine takes to read a prompt.
    pub fn prefill_time(&self, tokens: TokenCount) -> Duration {
        let tokens = tokens as f64;
        let million_pairs = tokens * tokens / 2.0 / 1e6;
        milliseconds(tokens / self.prefill_rate.max(1e-6) + million_pairs * self.attention_ms)
    }

    /// Returns the time between two events of `streams` streams with `context` tokens together.
    pub fn event_interval(&self, streams: u32, context: TokenCount) -> Duration {
        let step = self.step_ms
            + self.stream_ms * f64::from(streams)
            + self.context_ms * context as f64 / 1_000.0;
        milliseconds(step * f64::from(self.steps_per_event.max(1)))
    }

    /// Returns the time from the first to the last event of a stream of `output` tokens, alone.
    pub fn decode_time(&self, prompt: TokenCount, output: TokenCount) -> Duration {
        let events = output as f64 / f64::from(self.steps_per_event.max(1));
        self.event_interval(1, prompt + output / 2).mul_f64(events)
    }
}

fn milliseconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0) / 1_000.0).unwrap_or(Duration::MAX)
}

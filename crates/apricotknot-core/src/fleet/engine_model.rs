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
    pub sequence_ms: f64,
    /// Time that each 1,000 tokens of context add to a step, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_rate: f64,
    /// Time for a million pairs of a token and an earlier one, in milliseconds.
    pub pairs_ms: f64,
    /// Token steps between two events of a stream.
    pub stride: u32,
}

impl EngineModel {
    /// Returns the time that an idle engine takes to read a prompt.
    pub fn read_time(&self, tokens: TokenCount) -> Duration {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        milliseconds(tokens / self.read_rate.max(1e-6) + pairs * self.pairs_ms)
    }

    /// Returns the time between two events of `writers` streams with `context` tokens together.
    pub fn pass_time(&self, writers: u32, context: TokenCount) -> Duration {
        let step = self.step_ms
            + self.sequence_ms * f64::from(writers)
            + self.context_ms * context as f64 / 1_000.0;
        milliseconds(step * f64::from(self.stride.max(1)))
    }

    /// Returns the time from the first to the last event of a stream of `output` tokens, alone.
    pub fn write_time(&self, prompt: TokenCount, output: TokenCount) -> Duration {
        let passes = output as f64 / f64::from(self.stride.max(1));
        self.pass_time(1, prompt + output / 2).mul_f64(passes)
    }
}

fn milliseconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0) / 1_000.0).unwrap_or(Duration::MAX)
}

//! Performance model of the engines that run language models.

use std::time::Duration;

use crate::types::TokenCount;

/// Longest estimate; a longer one counts as this, so that sums and multiples of estimates fit.
const MAX_ESTIMATE: Duration = Duration::from_secs(86_400);

/// Performance model of one kind of model engine: how much time and memory requests take on it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Key-value cache, in tokens.
    pub memory: TokenCount,
    /// Fixed time of one decoding step, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding stream adds to a step, in milliseconds.
    pub stream_ms: f64,
    /// Time that each 1,000 tokens of context add to a step, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens prefilled per millisecond, without the cost of attention.
    pub prefill_rate: f64,
    /// Attention time of a prefill, in milliseconds per million pairs of a token and an earlier
    /// one.
    pub attention_ms: f64,
    /// Decoding steps between two events of a stream.
    pub steps_per_event: u32,
}

impl EngineModel {
    /// Returns the time in which an idle engine prefills a prompt of `tokens` tokens.
    pub fn prefill_time(&self, tokens: TokenCount) -> Duration {
        let tokens = tokens as f64;
        let million_pairs = tokens * tokens / 2.0 / 1e6;
        milliseconds(tokens / self.prefill_rate.max(1e-6) + million_pairs * self.attention_ms)
    }

    /// Returns the time between two events of a stream while the engine decodes `streams` streams
    /// that hold `context` tokens in total.
    pub fn event_interval(&self, streams: u32, context: TokenCount) -> Duration {
        let step = self.step_ms
            + self.stream_ms * f64::from(streams)
            + self.context_ms * context as f64 / 1_000.0;
        milliseconds(step * f64::from(self.steps_per_event.max(1)))
    }

    /// Returns the time from the first to the last event of a stream of `output` tokens that runs
    /// alone on the engine.
    pub fn decode_time(&self, prompt: TokenCount, output: TokenCount) -> Duration {
        let events = output as f64 / f64::from(self.steps_per_event.max(1));
        let interval = self.event_interval(1, prompt.saturating_add(output / 2));
        milliseconds(interval.as_secs_f64() * 1_000.0 * events)
    }
}

/// Returns a time in milliseconds, from zero to [`MAX_ESTIMATE`].
fn milliseconds(value: f64) -> Duration {
    let time = Duration::try_from_secs_f64(value.max(0.0) / 1_000.0);
    time.unwrap_or(MAX_ESTIMATE).min(MAX_ESTIMATE)
}

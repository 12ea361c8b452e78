//! Rate at which queued requests are granted.

use std::time::Duration;

use crate::types::MonotonicTime;
use crate::types::TokenCount;

/// Time constant of the exponentially decaying average.
const DECAY_TIME: Duration = Duration::from_secs(20);

/// Shortest retry time of a refused request.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest retry time of a refused request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Measures the tokens granted per second, as an exponentially decaying average.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GrantRate {
    /// Exponentially decayed sum of the granted tokens, as of `updated_at`.
    decayed_tokens: f64,
    updated_at: MonotonicTime,
}

impl GrantRate {
    /// Records a grant of `tokens` tokens.
    pub(super) fn record(&mut self, tokens: TokenCount, now: MonotonicTime) {
        self.decayed_tokens = self.decayed(now) + tokens as f64;
        self.updated_at = now;
    }

    /// Returns the expected time until `queued` tokens are granted, between 1 and 60 seconds.
    pub(super) fn retry_after(&self, queued: TokenCount, now: MonotonicTime) -> Duration {
        let rate = self.decayed(now) / DECAY_TIME.as_secs_f64();
        if queued == 0 {
            return MIN_RETRY_AFTER;
        }
        if rate < 1.0 {
            return MAX_RETRY_AFTER;
        }
        let wait = (queued as f64 / rate).min(MAX_RETRY_AFTER.as_secs_f64());
        Duration::from_secs_f64(wait).max(MIN_RETRY_AFTER)
    }

    fn decayed(&self, now: MonotonicTime) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.decayed_tokens * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}

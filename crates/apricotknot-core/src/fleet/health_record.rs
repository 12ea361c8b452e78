//! What a node has seen of an endpoint's health.

use std::time::Duration;

use crate::types::MonotonicTime;

/// Weight of one attempt in the averages.
const AVERAGE_WEIGHT: f64 = 0.2;

/// First time for which an endpoint that could not be reached gets no work.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Longest time for which an endpoint that could not be reached gets no work.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Time for which an endpoint that was full gets no work.
const REFUSED_BACKOFF: Duration = Duration::from_millis(100);

/// Time in which a bad average halves, so that a shunned endpoint is tried again.
const AVERAGE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Says how an attempt ended, as far as it tells of the endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AttemptEnd {
    /// The whole answer came.
    Answered,
    /// The caller left, or time ran out for reasons of the caller.
    Abandoned,
    /// The endpoint answered with a failure of its own.
    Failed,
    /// The endpoint said that it did not run the request.
    Refused,
    /// No connection could be made.
    Unreachable,
    /// The connection broke before the answer was whole.
    Broken,
    /// No answer came in time.
    Silent,
}

impl AttemptEnd {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Abandoned => "abandoned",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Silent => "silent",
        }
    }
}

/// Averages how attempts at one endpoint ended, and how slow it was.
#[derive(Clone, Debug)]
pub struct HealthRecord {
    failure_rate: f64,
    slowdown: f64,
    updated: MonotonicTime,
    backoff: Duration,
    backoff_until: MonotonicTime,
}

impl Default for HealthRecord {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            slowdown: 1.0,
            updated: MonotonicTime::ZERO,
            backoff: INITIAL_BACKOFF,
            backoff_until: MonotonicTime::ZERO,
        }
    }
}

impl HealthRecord {
    /// Records how an attempt ended.
    pub fn record_end(&mut self, end: AttemptEnd, now: MonotonicTime) {
        let failed = match end {
            AttemptEnd::Answered => 0.0,
            AttemptEnd::Abandoned => return,
            AttemptEnd::Refused => {
                self.backoff_until = self.backoff_until.max(now + REFUSED_BACKOFF);
                return;
            },
            AttemptEnd::Unreachable => {
                self.backoff_until = now + self.backoff;
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
                1.0
            },
            AttemptEnd::Broken => {
                self.backoff_until = now + INITIAL_BACKOFF;
                1.0
            },
            AttemptEnd::Failed | AttemptEnd::Silent => 1.0,
        };
        if end == AttemptEnd::Answered {
            self.backoff = INITIAL_BACKOFF;
        }
        self.failure_rate =
            self.failure_rate(now) * (1.0 - AVERAGE_WEIGHT) + failed * AVERAGE_WEIGHT;
        self.updated = now;
    }

    /// Records that something took `ratio` times as long as expected.
    pub fn record_slowdown(&mut self, ratio: f64, now: MonotonicTime) {
        let ratio = ratio.clamp(0.25, 16.0);
        self.slowdown = self.slowdown(now) * (1.0 - AVERAGE_WEIGHT) + ratio * AVERAGE_WEIGHT;
        self.updated = now;
    }

    /// Returns whether the endpoint is to get no work now.
    pub fn is_backing_off(&self, now: MonotonicTime) -> bool {
        now < self.backoff_until
    }

    /// Returns the part of recent attempts that failed, from 0 to 1.
    pub fn failure_rate(&self, now: MonotonicTime) -> f64 {
        self.failure_rate * self.decay(now)
    }

    /// Returns how many times slower than expected the endpoint is.
    pub fn slowdown(&self, now: MonotonicTime) -> f64 {
        1.0 + (self.slowdown - 1.0) * self.decay(now)
    }

    fn decay(&self, now: MonotonicTime) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        0.5_f64.powf(age / AVERAGE_HALF_LIFE.as_secs_f64())
    }
}

//! Health of an endpoint, as one node observes it.

use std::time::Duration;

use crate::types::MonotonicTime;

/// Weight of a new attempt in the exponentially weighted averages.
const AVERAGE_WEIGHT: f64 = 0.2;

/// Initial time for which an unreachable endpoint gets no requests.
///
/// The time doubles with each failed connection until an attempt is answered.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Maximum time for which an unreachable endpoint gets no requests.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Time for which an endpoint that refused a request gets no requests.
const REFUSED_BACKOFF: Duration = Duration::from_millis(100);

/// Half-life of the averages without new attempts.
///
/// An endpoint that gets no requests because of its averages is tried again as they decay.
const AVERAGE_HALF_LIFE: Duration = Duration::from_secs(3);

/// How an attempt ended, as far as it bears on the health of the endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Answered,
    /// The caller disconnected, or the time ran out for a reason that lies with the caller.
    Abandoned,
    /// The endpoint answered with an error of its own.
    Failed,
    /// The endpoint answered that it did not run the request.
    Refused,
    /// The connection could not be established: the endpoint or the way to it may be at fault.
    Unreachable,
    /// The endpoint is not at its address, as an endpoint there or another node says.
    Gone,
    /// The connection broke before the answer was complete.
    Broken,
    /// No answer arrived in time.
    Silent,
}

impl AttemptEnd {
    /// Returns the name that metrics and logs use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Abandoned => "abandoned",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Gone => "gone",
            Self::Broken => "broken",
            Self::Silent => "silent",
        }
    }
}

/// Keeps moving averages of the failures and the slowdown of one endpoint, and its backoff.
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
    ///
    /// A refused, unreachable or broken attempt also starts a backoff. An abandoned attempt changes
    /// nothing, as its end does not depend on the endpoint.
    pub fn record_end(&mut self, end: AttemptEnd, now: MonotonicTime) {
        let failed = match end {
            AttemptEnd::Answered => 0.0,
            AttemptEnd::Abandoned => return,
            AttemptEnd::Refused => {
                self.backoff_until = self.backoff_until.max(now + REFUSED_BACKOFF);
                return;
            },
            AttemptEnd::Unreachable | AttemptEnd::Gone => {
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

    /// Records that an answer began after `ratio` times the expected time.
    pub fn record_slowdown(&mut self, ratio: f64, now: MonotonicTime) {
        let ratio = ratio.clamp(0.25, 16.0);
        self.slowdown = self.slowdown(now) * (1.0 - AVERAGE_WEIGHT) + ratio * AVERAGE_WEIGHT;
        self.updated = now;
    }

    /// Returns whether the endpoint gets no requests at `now` because of an earlier failure.
    pub fn is_backing_off(&self, now: MonotonicTime) -> bool {
        now < self.backoff_until
    }

    /// Returns the fraction of recent attempts that failed, from 0 to 1.
    pub fn failure_rate(&self, now: MonotonicTime) -> f64 {
        self.failure_rate * self.decay(now)
    }

    /// Returns how many times longer than expected the endpoint takes to begin an answer.
    pub fn slowdown(&self, now: MonotonicTime) -> f64 {
        1.0 + (self.slowdown - 1.0) * self.decay(now)
    }

    /// Returns the factor by which the averages have decayed since the last update.
    fn decay(&self, now: MonotonicTime) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        0.5_f64.powf(age / AVERAGE_HALF_LIFE.as_secs_f64())
    }
}

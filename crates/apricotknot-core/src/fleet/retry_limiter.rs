//! Limits the retries of all nodes together to a fraction of the requests.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::MonotonicTime;

/// Fraction of the allowed retries that the nodes use.
///
/// The remainder covers nodes that restart, as they lose the count of the retries they have sent.
const USED_LIMIT_FRACTION: f64 = 0.6;

/// Limits the number of retries that all nodes together may send in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in addition, for all nodes together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts the requests and retries of one service at one node in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryLimiter {
    requests: VecDeque<MonotonicTime>,
    retries: VecDeque<MonotonicTime>,
}

impl RetryLimiter {
    /// Records the first attempt of a request at `now`.
    pub fn record_request(&mut self, policy: &RetryPolicy, now: MonotonicTime) {
        trim(&mut self.requests, policy.window, now);
        self.requests.push_back(now);
    }

    /// Consumes one retry at `now` if the limit allows it; returns whether it does.
    ///
    /// Each of `nodes` nodes may use the ratio of its own requests and an equal part of the slack.
    pub fn try_retry(&mut self, policy: &RetryPolicy, nodes: usize, now: MonotonicTime) -> bool {
        trim(&mut self.requests, policy.window, now);
        trim(&mut self.retries, policy.window, now);
        let own = policy.ratio * self.requests.len() as f64;
        let allowed = USED_LIMIT_FRACTION * (own + policy.slack / nodes.max(1) as f64);
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn trim(times: &mut VecDeque<MonotonicTime>, window: Duration, now: MonotonicTime) {
    while times.front().is_some_and(|time| *time + window <= now) {
        times.pop_front();
    }
}

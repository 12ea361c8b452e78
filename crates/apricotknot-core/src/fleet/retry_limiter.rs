//! Limits repeated sends to a part of the requests, summed over all nodes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::MonotonicTime;

/// Part of the allowance that nodes use; the rest is for nodes that restart and forget.
const USED_LIMIT_FRACTION: f64 = 0.6;

/// Says how many repeats all nodes together may send in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats beyond those, for all nodes together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts requests and repeats of one service at one node.
#[derive(Clone, Debug, Default)]
pub struct RetryLimiter {
    requests: VecDeque<MonotonicTime>,
    retries: VecDeque<MonotonicTime>,
}

impl RetryLimiter {
    /// Records a request that began at `now`.
    pub fn record_request(&mut self, policy: &RetryPolicy, now: MonotonicTime) {
        trim(&mut self.requests, policy.window, now);
        self.requests.push_back(now);
    }

    /// Takes one repeat at `now`; returns whether there was one left.
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

fn trim(moments: &mut VecDeque<MonotonicTime>, window: Duration, now: MonotonicTime) {
    while moments.front().is_some_and(|moment| *moment + window <= now) {
        moments.pop_front();
    }
}

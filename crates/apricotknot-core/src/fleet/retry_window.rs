//! Limits repeated sends to a part of the requests, summed over all nodes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::MonotonicTime;

/// Part of the allowance that nodes use; the rest is for nodes that restart and forget.
const USED_SHARE: f64 = 0.6;

/// Says how many repeats all nodes together may send in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats beyond those, for all nodes together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts requests and repeats of one service at one node.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<MonotonicTime>,
    repeats: VecDeque<MonotonicTime>,
}

impl RetryWindow {
    /// Records a request that began at `now`.
    pub fn record_request(&mut self, share: &RetryShare, now: MonotonicTime) {
        trim(&mut self.requests, share.window, now);
        self.requests.push_back(now);
    }

    /// Takes one repeat at `now`; returns whether there was one left.
    pub fn take_repeat(&mut self, share: &RetryShare, nodes: usize, now: MonotonicTime) -> bool {
        trim(&mut self.requests, share.window, now);
        trim(&mut self.repeats, share.window, now);
        let own = share.ratio * self.requests.len() as f64;
        let allowed = USED_SHARE * (own + share.slack / nodes.max(1) as f64);
        if self.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

fn trim(moments: &mut VecDeque<MonotonicTime>, window: Duration, now: MonotonicTime) {
    while moments.front().is_some_and(|moment| *moment + window <= now) {
        moments.pop_front();
    }
}

//! Limits the rate of requests that one node sends to a cold endpoint.

use std::time::Duration;

use crate::types::MonotonicTime;

/// Length of the sliding window in which requests to a cold endpoint are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Fraction of the endpoint's rate that the nodes use together.
///
/// The remainder is a margin for requests that arrive in bursts.
const USED_RATE_FRACTION: f64 = 0.8;

/// Counts the requests that one node sent to one endpoint in the last second.
///
/// Each node limits itself to an equal share of the endpoint's rate, so all nodes together stay
/// within that rate without communicating.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    sent: Vec<MonotonicTime>,
}

impl ColdLimiter {
    /// Records that a request was sent at `now`.
    pub fn record(&mut self, now: MonotonicTime) {
        self.sent.retain(|sent| *sent + WINDOW > now);
        self.sent.push(now);
    }

    /// Returns whether one more request stays within this node's share of the endpoint's rate.
    ///
    /// `rate` is in requests per second and is shared by `nodes` nodes. At least one request per
    /// second is allowed, however small the share is.
    pub fn allows(&self, rate: f64, nodes: usize, now: MonotonicTime) -> bool {
        let recent = self.sent.iter().filter(|sent| **sent + WINDOW > now).count();
        let allowance = (rate * USED_RATE_FRACTION / nodes.max(1) as f64).max(1.0);
        (recent as f64) + 1.0 <= allowance
    }
}

//! Limits the requests that one node sends to a cold endpoint.

use std::time::Duration;

use crate::types::MonotonicTime;

/// Window over which requests to a cold endpoint are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Part of the rate that nodes use; the rest is for requests that arrive bunched.
const USED_RATE_FRACTION: f64 = 0.8;

/// Counts what one node sent to one endpoint in the last second.
///
/// All nodes together keep to the endpoint's rate because each keeps to an equal share of it.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    sent: Vec<MonotonicTime>,
}

impl ColdLimiter {
    /// Records a request sent at `now`.
    pub fn record(&mut self, now: MonotonicTime) {
        self.sent.retain(|sent| *sent + WINDOW > now);
        self.sent.push(now);
    }

    /// Returns whether one more request keeps to this node's share of `rate` a second.
    pub fn allows(&self, rate: f64, nodes: usize, now: MonotonicTime) -> bool {
        let recent = self.sent.iter().filter(|sent| **sent + WINDOW > now).count();
        let allowance = (rate * USED_RATE_FRACTION / nodes.max(1) as f64).max(1.0);
        (recent as f64) + 1.0 <= allowance
    }
}

//! Division of a request rate among all nodes.

use std::time::Duration;

use super::NodePosition;

/// A rate of requests that all nodes share.
///
/// Each node sends at regular intervals, such that the requests of all nodes in any window are no
/// more than the rate allows. Where there are fewer of them than nodes, only the first nodes in the
/// order of the endpoint send any. Nodes need not communicate; those that disagree on one node
/// exceed the rate by at most one request in each window.
///
/// For example, 2.1 requests per second leave 8 in a window of 4 s. Each of 8 nodes sends one of them;
/// of 71 nodes, the first 8 send one each, and the others none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRate {
    per_second: f64,
    window: Duration,
}

impl SharedRate {
    /// Creates a rate that is kept in each window of `window`, or of the time that holds one request
    /// if that is longer.
    ///
    /// `per_second` must be positive.
    pub fn new(per_second: f64, window: Duration) -> Self {
        let single = Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(Duration::MAX);
        Self { per_second, window: window.max(single) }
    }

    /// Returns the rate, in requests per second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Returns the length of the windows in which the rate is kept.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Returns the shortest time between two requests of the node at `position`, or `None` if it
    /// sends none.
    ///
    /// `extra` is the number of further nodes that send one request in each window although the
    /// rate leaves them no share.
    pub fn interval(&self, position: NodePosition, extra: usize) -> Option<Duration> {
        // The reciprocal of the rate may round to slightly less than one request.
        let permits = (self.per_second * self.window.as_secs_f64() + 1e-6) as usize;
        let (equal, rest) = (permits / position.count, permits % position.count);
        let share = equal + usize::from(position.index < rest);
        let share = if share == 0 { usize::from(position.index < rest + extra) } else { share };
        let window = u64::try_from(self.window.as_nanos()).unwrap_or(u64::MAX);
        let share = u64::try_from(share).unwrap_or(u64::MAX);
        // Rounded up: a shorter interval would let one more request into a window.
        (share > 0).then(|| Duration::from_nanos(window.div_ceil(share)))
    }
}

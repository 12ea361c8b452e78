//! Limits, timeouts and clocks of the ledger.

use std::time::Duration;

use crate::types::MonotonicTime;

/// Time since the Unix epoch by the node's wall clock.
pub type WallTime = Duration;

/// Holds the readings of both clocks of a node: monotonic for its timers, wall for records.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerTime {
    /// Time by the monotonic clock of the node.
    pub monotonic: MonotonicTime,
    /// Time by the wall clock, which is roughly synchronised between nodes.
    pub wall: WallTime,
}

/// Holds the limits and timeouts of the ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerPolicy {
    /// Time for which a record is kept after its intent was written.
    pub record_lifetime: Duration,
    /// Time for which a call may be sent, counted from the start of the write of its intent.
    pub send_window: Duration,
    /// Mean time between two writes of one node while calls wait.
    pub swap_interval: Duration,
    /// Writes that a node may make in a burst after an idle time.
    pub swap_burst: u32,
    /// Longest time for which an answer waits to share a write with intents.
    pub answer_delay: Duration,
    /// Time after a store failure during which calls are refused immediately.
    pub store_backoff: Duration,
    /// Shard size in bytes from which no intent is added.
    pub intent_limit: usize,
    /// Shard size in bytes from which answers are recorded without their bodies.
    pub body_limit: usize,
    /// Largest answer body in bytes that is recorded.
    pub answer_limit: usize,
    /// Largest number of calls of one node that wait for their intents to be written.
    pub max_pending: usize,
}

impl Default for LedgerPolicy {
    fn default() -> Self {
        Self {
            record_lifetime: Duration::from_secs(60 * 60),
            send_window: Duration::from_secs(5),
            swap_interval: Duration::from_millis(25),
            swap_burst: 16,
            answer_delay: Duration::from_millis(200),
            store_backoff: Duration::from_millis(250),
            intent_limit: 512 * 1024,
            body_limit: 640 * 1024,
            answer_limit: 2 * 1024,
            max_pending: 10_000,
        }
    }
}

/// Permits a call to be sent before both moments, each by its own clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendPermit {
    /// Moment by the monotonic clock.
    pub send_by: MonotonicTime,
    /// Moment by the wall clock, which also counts the time for which a VM was paused.
    pub send_by_wall: WallTime,
}

impl SendPermit {
    /// Returns whether the call may still be sent; to be checked just before its first byte.
    pub fn allows(&self, time: LedgerTime) -> bool {
        time.monotonic < self.send_by && time.wall < self.send_by_wall
    }
}

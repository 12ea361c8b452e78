//! Limits of what the clients of one interface may occupy.

use std::time::Duration;

/// Time without sufficient progress after which a client may have to give way.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Time for which a request has waited for an endpoint before it may have to give way.
const QUEUE_TIME: Duration = Duration::from_millis(200);

/// Bytes that have to arrive within the stall time, or the client counts as stalled.
const LEAST_PROGRESS_BYTES: usize = 4 * 1_024;

/// Largest request that may use all of the memory, so that large ones leave room for it.
const SMALL_REQUEST_BYTES: usize = 64 * 1_024;

/// Part of the memory that is left to small requests.
const SMALL_REQUESTS_DIVISOR: usize = 8;

/// Limits what the clients of one interface may occupy together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeLimits {
    /// Bytes that requests may hold.
    pub memory_bytes: usize,
    /// Open connections.
    pub connections: usize,
    /// Time without sufficient progress after which a client may have to give way.
    pub stall_time: Duration,
    /// Bytes that have to arrive within the stall time.
    pub least_progress: usize,
    /// Time for which a request has waited for an endpoint before it may have to give way.
    pub queue_time: Duration,
}

impl IntakeLimits {
    /// Creates limits with the usual demands on progress.
    pub fn new(memory_bytes: usize, connections: usize) -> Self {
        let (stall_time, least_progress) = (STALL_TIME, LEAST_PROGRESS_BYTES);
        Self { memory_bytes, connections, stall_time, least_progress, queue_time: QUEUE_TIME }
    }

    /// Sets the time without sufficient progress after which a client may have to give way.
    #[must_use]
    pub fn stall_time(mut self, time: Duration) -> Self {
        self.stall_time = time;
        self
    }
}

impl IntakeLimits {
    /// Returns the bytes that all requests may hold after one of them has grown to `held`.
    pub(super) fn memory_for(&self, held: usize) -> usize {
        if held <= SMALL_REQUEST_BYTES {
            return self.memory_bytes;
        }
        self.memory_bytes - self.memory_bytes / SMALL_REQUESTS_DIVISOR
    }
}

//! The monotonic clock of a node.

use std::time::Instant;

use apricotknot_core::types::MonotonicTime;

/// Measures the time since the node started, equal on all threads; a pause of the process does
/// not stop it.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    origin: Instant,
}

impl NodeClock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> MonotonicTime {
        self.origin.elapsed()
    }
}

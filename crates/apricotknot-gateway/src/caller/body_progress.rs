//! Decides how long the next part of a request's body may take.

use std::time::Duration;

/// Least rate, in bytes per second, at which a body has to arrive after the first idle timeouts.
///
/// It is far below that of any usable connection, and ends bodies of which a byte arrives now and
/// then.
const MIN_BODY_RATE: f64 = 64.0;

/// Idle timeouts that a body may last regardless of its rate.
const FREE_IDLE_TIMEOUTS: u32 = 2;

/// Progress of one request's body; times are counted from the end of the request's head.
///
/// A slow caller may take as long as its bytes keep arriving. One that is silent for the idle
/// timeout, or that sends hardly anything for longer, is not waited for.
#[derive(Clone, Copy, Debug)]
pub struct BodyProgress {
    idle_timeout: Duration,
    received: usize,
}

impl BodyProgress {
    /// Creates the progress of a body of which nothing has arrived.
    pub fn new(idle_timeout: Duration) -> Self {
        Self { idle_timeout, received: 0 }
    }

    /// Records that `bytes` more bytes have arrived.
    pub fn record(&mut self, bytes: usize) {
        self.received = self.received.saturating_add(bytes);
    }
}

impl BodyProgress {
    /// Returns how long the next part may take at `elapsed`.
    pub fn time_left(&self, elapsed: Duration) -> Duration {
        let earned = Duration::from_secs_f64(self.received as f64 / MIN_BODY_RATE);
        let end = self.idle_timeout * FREE_IDLE_TIMEOUTS + earned;
        end.saturating_sub(elapsed).min(self.idle_timeout)
    }
}

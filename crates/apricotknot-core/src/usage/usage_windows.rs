//! Windows of time for which usage is reported.

use std::time::Duration;

use crate::types::UnixTime;
use crate::types::WindowNumber;

/// Shortest window.
const MIN_LENGTH: Duration = Duration::from_millis(100);

/// Divides time into windows of equal length, the first of which begins with 1970.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageWindows {
    length: Duration,
}

impl UsageWindows {
    /// Creates windows of `length`, at least 100 ms.
    pub fn new(length: Duration) -> Self {
        Self { length: length.max(MIN_LENGTH) }
    }

    /// Returns the length of each window.
    pub fn length(self) -> Duration {
        self.length
    }

    /// Returns the window that contains `time`.
    pub fn window_at(self, time: UnixTime) -> WindowNumber {
        WindowNumber::try_from(time.as_nanos() / self.length.as_nanos()).unwrap_or(u64::MAX)
    }

    /// Returns the time at which a window begins.
    pub fn start(self, window: WindowNumber) -> UnixTime {
        let nanos = self.length.as_nanos().saturating_mul(u128::from(window));
        let seconds = u64::try_from(nanos / 1_000_000_000).unwrap_or(u64::MAX);
        // A remainder below one second fits.
        Duration::new(seconds, u32::try_from(nanos % 1_000_000_000).unwrap_or(0))
    }

    /// Returns the time at which a window ends and the next one begins.
    pub fn end(self, window: WindowNumber) -> UnixTime {
        self.start(window.saturating_add(1))
    }
}

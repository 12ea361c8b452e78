//! Decides when a window is complete enough to be reported.

use std::time::Duration;

use super::UsageWindows;
use crate::types::UnixTime;
use crate::types::WindowNumber;

/// Part of the time until a report is due for which counts are waited for; the rest is left for the
/// key-value service, the API, and another holder of the duty.
const WAIT_FRACTION: f64 = 0.4;

/// Reports why a window is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClosingReason {
    /// All nodes have sent all their counts.
    Complete,
    /// Some nodes have not, and their counts are waited for no longer.
    Overdue,
}

impl ClosingReason {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Overdue => "overdue",
        }
    }
}

/// Decides when windows are closed, and for how long their reports are of use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowCloser {
    windows: UsageWindows,
    due: Duration,
}

impl WindowCloser {
    /// Creates the closer of windows whose reports are due `due` after their end.
    pub fn new(windows: UsageWindows, due: Duration) -> Self {
        Self { windows, due }
    }

    /// Returns the time after the end of a window within which its report is due.
    pub fn due(self) -> Duration {
        self.due
    }

    /// Returns why a window is closed at `now`, or `None` if it stays open.
    ///
    /// `missing` is the number of nodes that have not sent all their counts of it.
    pub fn reason(
        self,
        window: WindowNumber,
        missing: usize,
        now: UnixTime,
    ) -> Option<ClosingReason> {
        let end = self.windows.end(window);
        if now < end {
            return None;
        }
        match missing {
            0 => Some(ClosingReason::Complete),
            _ if now >= end + self.due.mul_f64(WAIT_FRACTION) => Some(ClosingReason::Overdue),
            _ => None,
        }
    }

    /// Returns the first window whose report is not yet overdue at `now`.
    pub fn first_useful(self, now: UnixTime) -> WindowNumber {
        self.windows.window_at(now.saturating_sub(self.due))
    }
}

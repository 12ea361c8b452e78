//! The gateway's clock.

use std::time::Duration;

use apricotknot_core::types::MonotonicTime;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Tells the time since the machine started, also while the machine was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the present time.
    pub fn now(self) -> MonotonicTime {
        // The clock exists on every Linux; without it time stands still and nothing is trusted.
        clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
    }
}

/// Returns `duration` in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

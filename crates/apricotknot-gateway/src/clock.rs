//! The gateway's clock.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use apricotknot_core::types::IncarnationNumber;
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

/// Returns the incarnation of a node that starts now: milliseconds since the Unix epoch.
pub fn start_incarnation() -> IncarnationNumber {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    IncarnationNumber::try_from(since.as_millis()).unwrap_or(1)
}

/// Returns `duration` in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

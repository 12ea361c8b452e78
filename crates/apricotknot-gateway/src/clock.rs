//! Clocks of the gateway.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use apricotknot_core::types::IncarnationNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::UnixTime;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Measures the time since the machine booted, including the time that it was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the current time.
    pub fn now(self) -> MonotonicTime {
        // Every Linux has this clock. Without it the time would stay zero, and no configuration
        // would ever count as fresh.
        clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
    }
}

/// Returns the time that the clock of the machine shows; it may jump.
pub fn wall_clock() -> UnixTime {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Returns the incarnation of a node that starts now: the milliseconds since the Unix epoch.
pub fn start_incarnation() -> IncarnationNumber {
    IncarnationNumber::try_from(wall_clock().as_millis()).unwrap_or(1)
}

/// Returns `duration` in whole milliseconds, rounded down, or `u64::MAX` if it is longer.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns `duration` in whole microseconds, rounded down, or `u64::MAX` if it is longer.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

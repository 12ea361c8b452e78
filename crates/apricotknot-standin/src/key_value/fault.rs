//! Faults of the key-value service.

use std::time::Duration;

use serde::Deserialize;

/// Says how the service misbehaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum FaultMode {
    /// It works.
    #[default]
    None,
    /// It cuts each call's connection before any effect.
    Down,
    /// It never answers, and nothing takes effect.
    Hang,
    /// It answers after a delay.
    Slow,
    /// Each call takes effect, and then its connection is cut.
    LoseAnswers,
    /// Each write takes effect, and then its connection is cut; reads work.
    LoseWriteAnswers,
}

/// Holds the fault in force.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct StoreFault {
    mode: FaultMode,
    delay_ms: u64,
    /// Calls that are still affected; unlimited where it is not given.
    count: Option<u64>,
}

impl StoreFault {
    /// Takes the fault for one call.
    pub(super) fn next_mode(&mut self) -> FaultMode {
        match &mut self.count {
            Some(0) => return FaultMode::None,
            Some(count) => *count -= 1,
            None => {},
        }
        self.mode
    }

    /// Returns the delay of a slow answer.
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }

    /// Returns whether watches are cut and refused.
    pub(super) fn closes_watches(&self) -> bool {
        matches!(self.mode, FaultMode::Down | FaultMode::Hang) && self.count != Some(0)
    }
}

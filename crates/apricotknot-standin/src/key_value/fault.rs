//! Faults that a test injects into the key-value service.

use std::time::Duration;

use serde::Deserialize;

/// Says how the service fails.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum FaultMode {
    /// The service works.
    #[default]
    None,
    /// The service closes the connection of each call before the call takes effect.
    Down,
    /// The service never answers, and no call takes effect.
    Hang,
    /// The service answers after a delay.
    Slow,
    /// Each call takes effect, and its connection is closed instead of an answer.
    LoseAnswers,
    /// Each write takes effect, and its connection is closed instead of an answer; reads work.
    LoseWriteAnswers,
}

/// Holds the injected fault.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct StoreFault {
    mode: FaultMode,
    delay_ms: u64,
    /// Number of further calls that are affected; `None` for no limit.
    count: Option<u64>,
}

impl StoreFault {
    /// Returns the mode for the next call, and counts the call against the limit.
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

    /// Returns whether open watches are closed.
    pub(super) fn closes_watches(&self) -> bool {
        matches!(self.mode, FaultMode::Down | FaultMode::Hang) && self.count != Some(0)
    }
}

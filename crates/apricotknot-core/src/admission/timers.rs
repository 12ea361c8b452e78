//! Timers of the scheduler.

use std::collections::BTreeSet;

use crate::types::AttemptId;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::RequestId;

/// Identifies a timer by what it is for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum TimerKey {
    /// A queued request can no longer end by its deadline, or has waited too long.
    Request(RequestId),
    /// The start, the end or the confirmation of an attempt is overdue.
    Attempt(AttemptId),
    /// An unreachable endpoint may get new work again.
    Reconnect(EndpointId),
    /// An endpoint's next load report is overdue.
    ReportGap(EndpointId),
}

/// Holds timers, ordered by time.
#[derive(Clone, Debug, Default)]
pub(super) struct TimerSet {
    timers: BTreeSet<(MonotonicTime, TimerKey)>,
}

impl TimerSet {
    /// Adds a timer.
    pub(super) fn set(&mut self, at: MonotonicTime, key: TimerKey) {
        self.timers.insert((at, key));
    }

    /// Removes a timer.
    pub(super) fn clear(&mut self, at: MonotonicTime, key: TimerKey) {
        self.timers.remove(&(at, key));
    }

    /// Removes and returns the first timer that is due at `now`.
    pub(super) fn pop_due(&mut self, now: MonotonicTime) -> Option<TimerKey> {
        if self.next()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, key)| key)
    }

    /// Returns the time of the first timer.
    pub(super) fn next(&self) -> Option<MonotonicTime> {
        self.timers.first().map(|(at, _)| *at)
    }
}

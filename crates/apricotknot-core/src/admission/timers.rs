//! Moments at which the scheduler has to act by itself.

use std::collections::BTreeSet;

use crate::types::AttemptId;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::RequestId;

/// Says what is due.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum TimerKey {
    /// A queued request can no longer end by its deadline.
    Request(RequestId),
    /// An attempt has to be looked at: its start, end or confirmation is overdue.
    Attempt(AttemptId),
    /// An endpoint that could not be reached may be tried again.
    Reconnect(EndpointId),
    /// An endpoint's next load report is overdue.
    ReportGap(EndpointId),
}

/// Orders what is due by time.
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

    /// Returns the moment of the first timer.
    pub(super) fn next(&self) -> Option<MonotonicTime> {
        self.timers.first().map(|(at, _)| *at)
    }
}

//! Time until which an endpoint prefills what it was given.

use std::time::Duration;

use super::WorkRole;
use crate::types::MonotonicTime;

/// Estimates when an endpoint will have done all prefills that were sent to it.
///
/// Each prefill begins when those before it are done, and parts of prompts that others run go before the
/// endpoint's own prompts. A prefill still counts after its request has ended: if it did not, those
/// behind it would seem to have begun when they were sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefillQueue {
    /// End of all prefills.
    all_end: MonotonicTime,
    /// End of the prefills as a helper.
    parts_end: MonotonicTime,
}

impl PrefillQueue {
    /// Adds a prefill that was sent at `sent` and takes `time`.
    pub(super) fn add(&mut self, role: WorkRole, sent: MonotonicTime, time: Duration) {
        self.all_end = self.all_end.max(sent) + time;
        if role == WorkRole::Helper {
            self.parts_end = self.parts_end.max(sent) + time;
        }
    }

    /// Takes back what cannot have been done by `now` of a prefill whose request has ended.
    pub(super) fn withdraw(
        &mut self,
        role: WorkRole,
        sent: MonotonicTime,
        time: Duration,
        now: MonotonicTime,
    ) {
        let undone = (sent + time).saturating_sub(now).min(time);
        self.all_end = self.all_end.saturating_sub(undone);
        if role == WorkRole::Helper {
            self.parts_end = self.parts_end.saturating_sub(undone);
        }
    }
}

impl PrefillQueue {
    /// Returns the time until all prefills are done.
    pub(super) fn backlog(&self, now: MonotonicTime) -> Duration {
        self.all_end.saturating_sub(now)
    }

    /// Returns the time until the prefills as a helper are done.
    pub(super) fn parts_backlog(&self, now: MonotonicTime) -> Duration {
        self.parts_end.saturating_sub(now)
    }
}

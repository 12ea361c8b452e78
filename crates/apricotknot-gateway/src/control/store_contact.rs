//! Contact of a node with the key-value service: outages, and calls that only this node lost.

use std::time::Duration;

use apricotknot_core::types::MonotonicTime;

/// Shortest outage in which a record can expire: the shortest lease of the service.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// Number of consecutive failed calls that show an outage.
///
/// One failed call shows that its connection broke. The next one opens a connection, so its failure
/// says something of the service or of the way to it.
const OUTAGE_FAILURES: u32 = 2;

/// Tells outages of the service, in which records of live endpoints expire, from broken calls.
#[derive(Debug, Default)]
pub(super) struct StoreContact {
    /// Time of the last answer.
    answered_at: Option<MonotonicTime>,
    /// Time of the first failed call since the last answer.
    unreachable_since: Option<MonotonicTime>,
    /// Failed calls since the last answer.
    failures: u32,
}

impl StoreContact {
    /// Records a failed call; returns whether the one before was answered.
    pub(super) fn record_failure(&mut self, now: MonotonicTime) -> bool {
        self.failures = self.failures.saturating_add(1);
        let is_first = self.unreachable_since.is_none();
        self.unreachable_since.get_or_insert(now);
        is_first
    }

    /// Records an answer; returns whether it ends an outage in which records can have expired.
    pub(super) fn record_answer(&mut self, now: MonotonicTime) -> bool {
        let silence = self.answered_at.map(|answered_at| now.saturating_sub(answered_at));
        let is_long = silence.is_none_or(|silence| silence >= MIN_OUTAGE);
        let ends_outage = self.is_outage() && is_long;
        *self = Self { answered_at: Some(now), ..Self::default() };
        ends_outage
    }
}

impl StoreContact {
    /// Returns since when calls fail, or `None` if the last one was answered.
    pub(super) fn unreachable_since(&self) -> Option<MonotonicTime> {
        self.unreachable_since
    }

    /// Returns the number of failed calls since the last answer.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether the failed calls show an outage of the service, or of the way to it.
    pub(super) fn is_outage(&self) -> bool {
        self.failures >= OUTAGE_FAILURES
    }
}

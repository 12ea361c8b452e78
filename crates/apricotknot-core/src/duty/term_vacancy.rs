//! Times at which a vacant duty may be taken and performed.

use super::DutyContents;
use super::DutyLimits;
use crate::types::MonotonicTime;

/// Describes since when a duty has no holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct TermVacancy {
    /// Time from which candidates take turns.
    pub(super) since: MonotonicTime,
    /// Time from which no former holder acts any more.
    pub(super) former_over: MonotonicTime,
}

/// First answer of the key-value service in one era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct EraContact {
    /// Era of the answer.
    pub(super) era: u64,
    /// Time of the answer.
    pub(super) at: MonotonicTime,
}

impl TermVacancy {
    /// Returns the vacancy that `contents`, which were read at `now`, show; `None` if there is a holder.
    ///
    /// A record that is gone proves that its lease ended, but a service that was away may end leases
    /// early, so the former holder is given the time of its whole lease. A released record proves that
    /// it has stopped. A record of an earlier era is bound to no lease: its holder, if there is one,
    /// learns of the new era within the time of its lease, and writes none.
    pub(super) fn of(
        contents: &DutyContents,
        contact: EraContact,
        limits: &DutyLimits,
        now: MonotonicTime,
    ) -> Option<Self> {
        let record = contents.entry.as_ref().map(|entry| entry.record.as_ref());
        let lease_over = limits.ttl + limits.margin;
        match record {
            None => Some(Self { since: now, former_over: now + lease_over }),
            Some(Some(record)) if record.era < contents.era => {
                let over = contact.at + lease_over;
                Some(Self { since: over.max(now), former_over: over.max(now) })
            },
            Some(Some(record)) if record.is_released => {
                Some(Self { since: now, former_over: now + limits.call_time })
            },
            Some(_) => None,
        }
    }
}

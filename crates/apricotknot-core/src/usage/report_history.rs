//! Reports that are known to be decided.

use std::collections::BTreeMap;

use thiserror::Error;

use super::UsageReport;
use crate::types::EraNumber;
use crate::types::MonotonicTime;
use crate::types::WindowNumber;

/// Number of reports that are remembered.
const MAX_REPORTS: usize = 16;

/// Reports that two reports on one window differ; only the first one may be sent.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("window {window} already has another report; keeping the first one")]
pub struct ConflictingReport {
    /// Window of both reports.
    pub window: WindowNumber,
}

/// Remembers the report on each window, and decides for which windows a new one may be made.
///
/// A report is decided once the key-value service holds it. Every node remembers what it has read
/// there, so a report stays decided if the service comes back from an older copy.
#[derive(Clone, Debug, Default)]
pub struct ReportHistory {
    reports: BTreeMap<WindowNumber, UsageReport>,
    /// First window that can still get a report, as no later one has any.
    first_undecided: WindowNumber,
    /// Era of the service that was read last.
    era: Option<EraNumber>,
    /// Time since which each report in the service was read, or is still there.
    followed_since: Option<MonotonicTime>,
}

impl ReportHistory {
    /// Records the era of the service as of `now`; returns whether the node has not read the service
    /// in this era before.
    ///
    /// Reports that it held before `now` may then be lost without this node having read them.
    pub fn observe_era(&mut self, era: EraNumber, now: MonotonicTime) -> bool {
        let is_new = self.era.is_none_or(|known| era > known);
        if is_new {
            self.era = Some(era);
            self.followed_since = Some(now);
        }
        is_new
    }

    /// Records that the windows before `window` get no report, unless they have one.
    pub fn skip_to(&mut self, window: WindowNumber) {
        self.first_undecided = self.first_undecided.max(window);
    }

    /// Records a report that the service holds, and that was written for the era `written_in`.
    ///
    /// One that was written for another era than that of the service is not known to be the only one:
    /// its window gets no report from this node, unless it is known already.
    ///
    /// # Errors
    ///
    /// Returns an error if another report on the window is known, which stays.
    pub fn record(
        &mut self,
        report: UsageReport,
        written_in: EraNumber,
    ) -> Result<(), ConflictingReport> {
        let window = report.window;
        if let Some(known) = self.reports.get(&window) {
            return if *known == report { Ok(()) } else { Err(ConflictingReport { window }) };
        }
        self.skip_to(window.saturating_add(1));
        if self.era == Some(written_in) {
            self.reports.insert(window, report);
        }
        while self.reports.len() > MAX_REPORTS {
            self.reports.pop_first();
        }
        Ok(())
    }
}

impl ReportHistory {
    /// Returns the decided report on a window.
    pub fn report(&self, window: WindowNumber) -> Option<&UsageReport> {
        self.reports.get(&window)
    }

    /// Returns the decided reports from window `first` on, in order.
    pub fn reports_from(&self, first: WindowNumber) -> impl Iterator<Item = &UsageReport> {
        self.reports.range(first..).map(|(_, report)| report)
    }

    /// Returns the first window that can still get a report.
    ///
    /// Reports are decided in order, so a window before a decided one gets none.
    pub fn first_undecided(&self) -> WindowNumber {
        self.first_undecided
    }

    /// Returns the era of the service that was read last.
    pub fn era(&self) -> Option<EraNumber> {
        self.era
    }

    /// Returns the time since which this node has read each report, or `None` before it has read the
    /// service.
    ///
    /// A window that ended earlier may have had a report that is lost, and gets no new one.
    pub fn followed_since(&self) -> Option<MonotonicTime> {
        self.followed_since
    }
}

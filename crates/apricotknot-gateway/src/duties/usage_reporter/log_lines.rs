//! What the usage reporter logs.

use apricotknot_core::types::FencingNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::WindowNumber;
use apricotknot_core::usage::ClosedWindow;
use apricotknot_core::usage::UsageReport;
use slog::info;
use slog::warn;

use super::StepFailed;
use super::TermWork;
use super::UsageReporter;
use crate::clock::millis;
use crate::duties::DutyApi;
use crate::store::MetadataStore;
use crate::store::StoreError;

impl<S: MetadataStore, A: DutyApi, C: Fn() -> MonotonicTime> UsageReporter<S, A, C> {
    pub(super) fn log_store_error(&self, error: &StoreError) -> StepFailed {
        warn!(
            self.tools.logger, "usage: key-value service failed; reading the records again";
            "error" => %error
        );
        StepFailed
    }

    pub(super) fn log_closed(&self, closed: &ClosedWindow) {
        info!(
            self.tools.logger, "usage: window closed"; "window" => closed.report.window,
            "reason" => closed.reason.name(), "requests" => closed.report.request_count(),
            "accounts" => closed.report.counts.len(), "nodes_heard" => closed.heard,
            "nodes_expected" => closed.expected, "age_ms" => millis(closed.age)
        );
    }

    pub(super) fn log_skipped(&self, window: WindowNumber) {
        let first = self.tools.accounting.borrow().first_undecided();
        if (1..window).contains(&first) {
            warn!(
                self.tools.logger, "usage: windows get no report"; "first" => first,
                "last" => window - 1
            );
        }
    }

    pub(super) fn log_overdue(&self, work: &mut TermWork, useful: &[UsageReport]) {
        let first = useful.first().map_or(WindowNumber::MAX, |report| report.window);
        while let Some(window) = work.pending.first().copied().filter(|window| *window < first) {
            work.pending.remove(&window);
            warn!(
                self.tools.logger, "usage: report is overdue; sending it no more";
                "window" => window
            );
        }
    }

    pub(super) fn log_reported(&self, report: &UsageReport, fence: FencingNumber) {
        let age = self.tools.accounting.borrow().window_age(report.window, (self.tools.clock)());
        info!(
            self.tools.logger, "usage: window reported"; "window" => report.window,
            "requests" => report.request_count(), "accounts" => report.counts.len(),
            "fence" => fence, "age_ms" => millis(age)
        );
    }
}

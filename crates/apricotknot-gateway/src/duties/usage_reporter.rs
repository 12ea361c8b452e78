//! Task that reports usage while this node holds the duty.
//!
//! The key-value service decides the report on each window: the first record under the window's key
//! stays, and only what it holds is ever sent. So a successor sends the same report again, and a
//! report whose answer is lost can be repeated.

mod log_lines;

use std::collections::BTreeSet;
use std::time::Duration;

use apricotknot_core::types::EraNumber;
use apricotknot_core::types::FencingNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::WindowNumber;
use apricotknot_core::usage::ClosedWindow;
use apricotknot_core::usage::UsageReport;
use prometheus_client::metrics::counter::Counter;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;

use super::DutyAnswer;
use super::DutyApi;
use super::DutyApiError;
use super::DutyPermit;
use super::UsageHandle;
use super::UsageRecord;
use crate::control::USAGE_PREFIX;
use crate::control::usage_key;
use crate::store::MetadataStore;
use crate::store::StoreEntry;
use crate::store::StoreLease;
use crate::store::SwapOutcome;
use crate::store::SwapRequest;

/// Interval between two looks at the windows.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a call of the key-value service or of the API that failed.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time for which a record is kept at least; its report is overdue long before.
const RECORD_LIFETIME: Duration = Duration::from_secs(60);

/// Status with which the API answers when there are too many calls.
const TOO_MANY_CALLS: u16 = 429;

/// What the reporter works with.
pub struct UsageTools<S, A, C> {
    /// Counts and reports that the node knows.
    pub accounting: UsageHandle,
    /// Shows whether this node holds the duty.
    pub permit: DutyPermit,
    /// Makes the calls.
    pub api: A,
    /// Client of the key-value service.
    pub store: S,
    /// Returns the current time.
    pub clock: C,
    /// Counts the reports that were accepted.
    pub reports: Counter,
    /// Logger of the control thread.
    pub logger: Logger,
}

/// Work of one term as the holder of the duty.
#[derive(Debug)]
struct TermWork {
    fence: FencingNumber,
    /// Whether the records have been read since the term began and since the last failed write.
    is_loaded: bool,
    /// Windows whose reports need not be sent any more in this term.
    done: BTreeSet<WindowNumber>,
    /// Windows whose reports were still to be sent at the last look.
    pending: BTreeSet<WindowNumber>,
}

impl TermWork {
    fn new(fence: FencingNumber) -> Self {
        Self { fence, is_loaded: false, done: BTreeSet::new(), pending: BTreeSet::new() }
    }
}

/// A step that failed; it is tried again after a delay.
struct StepFailed;

/// Reports the usage of each window; runs on the control thread for the life of the node.
pub struct UsageReporter<S, A, C> {
    tools: UsageTools<S, A, C>,
    term: Option<TermWork>,
    /// Lease of the records, and the time at which it was granted.
    lease: Option<(StoreLease, MonotonicTime)>,
}

impl<S: MetadataStore, A: DutyApi, C: Fn() -> MonotonicTime> UsageReporter<S, A, C> {
    /// Creates the reporter of a node.
    pub fn new(tools: UsageTools<S, A, C>) -> Self {
        Self { tools, term: None, lease: None }
    }

    /// Reports usage until the control thread ends.
    pub async fn run(mut self) {
        loop {
            let delay = self.step().await;
            tokio::time::sleep(delay).await;
        }
    }

    /// Decides and sends what is due, and returns the delay until the next step.
    pub async fn step(&mut self) -> Duration {
        let Some(term) = self.tools.permit.term((self.tools.clock)()) else {
            self.term = None;
            return POLL_INTERVAL;
        };
        let is_new = self.term.as_ref().is_none_or(|work| work.fence != term.fence);
        let mut work = match self.term.take() {
            Some(work) if !is_new => work,
            _ => TermWork::new(term.fence),
        };
        let advanced = self.advance(&mut work).await;
        self.term = Some(work);
        if advanced.is_ok() { POLL_INTERVAL } else { RETRY_DELAY }
    }

    async fn advance(&mut self, work: &mut TermWork) -> Result<(), StepFailed> {
        if !work.is_loaded {
            self.load().await?;
            work.is_loaded = true;
        }
        let closed = self.tools.accounting.borrow().closed_window((self.tools.clock)());
        if let Some(closed) = closed {
            let decided = self.decide(closed).await;
            work.is_loaded = decided.is_ok();
            decided?;
        }
        self.send_reports(work).await
    }

    /// Reads the records of all windows.
    async fn load(&mut self) -> Result<(), StepFailed> {
        let range = self.tools.store.range(USAGE_PREFIX).await;
        let range = range.map_err(|error| self.log_store_error(&error))?;
        let now = (self.tools.clock)();
        self.tools.accounting.borrow_mut().observe_era(range.era, now);
        for entry in &range.entries {
            self.record_entry(entry);
        }
        Ok(())
    }

    /// Writes the report on a window, unless the key-value service holds one already.
    async fn decide(&mut self, closed: ClosedWindow) -> Result<(), StepFailed> {
        self.log_skipped(closed.report.window);
        let lease = self.lease().await?;
        if self.tools.accounting.borrow().era() != Some(lease.era) {
            self.lease = None;
            return Err(StepFailed);
        }
        let record = UsageRecord { era: lease.era, report: closed.report.clone() };
        // Serializing numbers and texts cannot fail.
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let request = SwapRequest::create(usage_key(closed.report.window), value);
        let outcome = self.tools.store.swap(&request.lease_in_era(lease)).await;
        match outcome {
            Ok(SwapOutcome::Written { .. }) => {
                self.log_closed(&closed);
                self.record(closed.report, lease.era);
            },
            Ok(SwapOutcome::Conflict { current, .. }) => {
                info!(
                    self.tools.logger, "usage: window has a report already; sending that one";
                    "window" => closed.report.window
                );
                if let Some(entry) = &current {
                    self.record_entry(entry);
                }
                self.tools.accounting.borrow_mut().skip_to(closed.report.window + 1);
            },
            Err(error) => {
                // The lease may be of an era that is over.
                self.lease = None;
                return Err(self.log_store_error(&error));
            },
        }
        Ok(())
    }

    /// Returns a lease under which records are kept for long enough.
    async fn lease(&mut self) -> Result<StoreLease, StepFailed> {
        let now = (self.tools.clock)();
        let lifetime = RECORD_LIFETIME.max(self.tools.accounting.borrow().report_lifetime() * 4);
        if let Some((lease, granted_at)) = self.lease
            && now < granted_at + lifetime
        {
            return Ok(lease);
        }
        let lease = self.tools.store.grant_lease(lifetime * 2).await;
        let lease = lease.map_err(|error| self.log_store_error(&error))?;
        self.lease = Some((lease, now));
        Ok(lease)
    }

    /// Sends the decided reports that are not overdue, oldest first.
    async fn send_reports(&mut self, work: &mut TermWork) -> Result<(), StepFailed> {
        let reports = self.tools.accounting.borrow().useful_reports((self.tools.clock)());
        self.log_overdue(work, &reports);
        for report in reports {
            if work.done.contains(&report.window) {
                continue;
            }
            work.pending.insert(report.window);
            self.send_report(work.fence, &report).await?;
            work.pending.remove(&report.window);
            work.done.insert(report.window);
        }
        Ok(())
    }

    /// Sends one report; it succeeds if the report needs not be sent again.
    async fn send_report(
        &self,
        fence: FencingNumber,
        report: &UsageReport,
    ) -> Result<(), StepFailed> {
        let call = self.tools.permit.call((self.tools.clock)());
        let Some(call) = call.filter(|call| call.fence == fence) else {
            return Err(StepFailed);
        };
        match self.tools.api.report_usage(&call, report).await {
            Ok(DutyAnswer::Accepted) => {
                self.tools.reports.inc();
                self.log_reported(report, fence);
                Ok(())
            },
            Ok(DutyAnswer::Fenced) => {
                self.tools.permit.end_term(fence);
                warn!(
                    self.tools.logger, "usage: another node reports; ending the term";
                    "window" => report.window, "fence" => fence
                );
                Err(StepFailed)
            },
            Err(error) => {
                warn!(
                    self.tools.logger, "usage: cannot report a window"; "window" => report.window,
                    "fence" => fence, "error" => %error, "repeats" => !is_final(&error)
                );
                if is_final(&error) { Ok(()) } else { Err(StepFailed) }
            },
        }
    }

    fn record_entry(&self, entry: &StoreEntry) {
        match serde_json::from_slice::<UsageRecord>(&entry.value) {
            Ok(record) => self.record(record.report, record.era),
            Err(error) => error!(
                self.tools.logger, "usage: skipping an unreadable record";
                "key" => &*entry.key, "error" => %error
            ),
        }
    }

    fn record(&self, report: UsageReport, written_in: EraNumber) {
        let recorded = self.tools.accounting.borrow_mut().record_report(report, written_in);
        if let Err(error) = recorded {
            error!(self.tools.logger, "usage: ignoring a report"; "error" => %error);
        }
    }
}

/// Returns whether the API would answer a repeated call alike.
fn is_final(error: &DutyApiError) -> bool {
    match error {
        DutyApiError::Rejected { status, .. } => {
            (400..500).contains(status) && *status != TOO_MANY_CALLS
        },
        _ => false,
    }
}

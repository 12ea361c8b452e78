//! Warm-up of an endpoint: how much load it has proven to handle since its last cold start.

use super::BudgetAmount;
use super::EndpointCapacity;
use crate::types::BootId;
use crate::types::MonotonicTime;

/// Tracks whether an endpoint is cold, and its load limit during the warm-up.
///
/// An endpoint is cold until timely answers or load reports of the same process prove that it is
/// warm. Each timely answer raises the limit by the budget of one cold request, so that the limit
/// doubles with each full round of answers.
#[derive(Clone, Debug)]
pub(super) struct WarmupState {
    /// Load limit while the endpoint is cold; `None` once it is warm.
    cold_limit: Option<BudgetAmount>,
    boot_id: Option<BootId>,
    slow_answers: u32,
    last_seen: MonotonicTime,
    cold_since: MonotonicTime,
    /// Whether the endpoint sends load reports.
    has_load_reports: bool,
    /// Whether the latest load report said that the endpoint is cold, or none has arrived since the
    /// last reset to cold. Answers do not raise the limit meanwhile.
    reports_cold: bool,
}

impl WarmupState {
    /// Creates the state of an endpoint of which nothing is known yet; it is cold.
    pub(super) fn new(capacity: &EndpointCapacity, now: MonotonicTime) -> Self {
        Self {
            cold_limit: Some(capacity.cold),
            boot_id: None,
            slow_answers: 0,
            last_seen: now,
            cold_since: now,
            has_load_reports: false,
            reports_cold: false,
        }
    }
}

impl WarmupState {
    /// Resets the endpoint to its cold budget.
    pub(super) fn reset_to_cold(&mut self, capacity: &EndpointCapacity, now: MonotonicTime) {
        self.cold_limit = Some(capacity.cold);
        self.slow_answers = 0;
        self.cold_since = now;
        self.reports_cold = self.has_load_reports;
    }

    /// Records a load report that says the endpoint is cold; timely answers then prove nothing.
    pub(super) fn record_cold_report(&mut self, capacity: &EndpointCapacity, now: MonotonicTime) {
        self.has_load_reports = true;
        if self.cold_limit.is_none() {
            self.reset_to_cold(capacity, now);
        }
        self.cold_limit = Some(capacity.cold);
        self.reports_cold = true;
    }

    /// Records a load report that says the endpoint is warm.
    pub(super) fn record_warm_report(&mut self) {
        self.has_load_reports = true;
        self.reports_cold = false;
    }

    /// Records the boot id of the endpoint process; returns whether the process has restarted.
    pub(super) fn record_boot(&mut self, boot_id: &BootId, now: MonotonicTime) -> bool {
        self.last_seen = now;
        if self.boot_id.as_ref() == Some(boot_id) {
            return false;
        }
        let is_restart = self.boot_id.is_some();
        self.boot_id = Some(boot_id.clone());
        is_restart
    }

    /// Raises the limit after a timely answer, unless the endpoint reports that it is cold.
    pub(super) fn raise_limit(&mut self, capacity: &EndpointCapacity) {
        self.slow_answers = 0;
        let Some(cold_limit) = self.cold_limit.filter(|_| !self.reports_cold) else {
            return;
        };
        let cold_requests = u64::from(capacity.cold.concurrent.max(1));
        let step = BudgetAmount::new((capacity.cold.memory_tokens / cold_requests).max(1), 1);
        let next = cold_limit.plus(step).component_min(capacity.warm);
        self.cold_limit = if next == capacity.warm { None } else { Some(next) };
    }

    /// Doubles the limit of a cold endpoint, up to the warm budget.
    pub(super) fn double_limit(&mut self, capacity: &EndpointCapacity) {
        let Some(cold_limit) = self.cold_limit else {
            return;
        };
        let least = BudgetAmount::new(1, 1);
        let next = cold_limit.plus(cold_limit).plus(least).component_min(capacity.warm);
        self.cold_limit = if next == capacity.warm { None } else { Some(next) };
    }

    /// Records proof of a peer that the process `boot_id` is warm; ignored for another process.
    pub(super) fn prove(&mut self, boot_id: &BootId) {
        if self.boot_id.as_ref().is_none_or(|known| known == boot_id) {
            self.boot_id = Some(boot_id.clone());
            self.cold_limit = None;
            self.reports_cold = false;
        }
    }

    /// Records a slow first token; returns the number of consecutive ones.
    pub(super) fn record_slow(&mut self) -> u32 {
        self.slow_answers += 1;
        self.slow_answers
    }

    /// Records that the endpoint showed activity at `now`.
    pub(super) fn record_seen(&mut self, now: MonotonicTime) {
        self.last_seen = self.last_seen.max(now);
    }
}

impl WarmupState {
    /// Returns the load that the endpoint has proven to handle.
    pub(super) fn limit(&self, capacity: &EndpointCapacity) -> BudgetAmount {
        self.cold_limit.map_or(capacity.warm, |cold_limit| cold_limit.component_min(capacity.warm))
    }

    /// Returns whether the endpoint counts as cold.
    pub(super) fn is_cold(&self) -> bool {
        self.cold_limit.is_some()
    }

    /// Returns the time of the last observed activity.
    pub(super) fn last_seen(&self) -> MonotonicTime {
        self.last_seen
    }

    /// Returns the time of the last reset to cold.
    pub(super) fn cold_since(&self) -> MonotonicTime {
        self.cold_since
    }

    /// Returns whether the boot id of the endpoint is known, from a report or an answer.
    pub(super) fn has_boot_id(&self) -> bool {
        self.boot_id.is_some()
    }
}

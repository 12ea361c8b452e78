//! Tells how much of its load an endpoint has proven that it bears.

use super::BudgetAmount;
use super::EndpointCapacity;
use crate::types::BootId;
use crate::types::MonotonicTime;

/// Tracks whether an endpoint is cold, and how far its cold budget has grown.
///
/// An endpoint is cold until answers in time, or its own report for the same run, prove otherwise.
/// Each proof adds one cold request's worth, so that the budget doubles with each full round.
#[derive(Clone, Debug)]
pub(super) struct WarmupState {
    /// Budget while cold; `None` once warm.
    cold_limit: Option<BudgetAmount>,
    boot_id: Option<BootId>,
    slow_answers: u32,
    last_seen: MonotonicTime,
    cold_since: MonotonicTime,
    /// Whether the endpoint reports its load.
    has_load_reports: bool,
    /// Whether the endpoint's latest report said that it is cold, or no report came since a chill.
    reports_cold: bool,
}

impl WarmupState {
    /// Creates the state of an endpoint that nothing is known of.
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

// Commands.
impl WarmupState {
    /// Puts the endpoint back to its cold budget.
    pub(super) fn reset_to_cold(&mut self, capacity: &EndpointCapacity, now: MonotonicTime) {
        self.cold_limit = Some(capacity.cold);
        self.slow_answers = 0;
        self.cold_since = now;
        self.reports_cold = self.has_load_reports;
    }

    /// Notes that the endpoint reports itself as cold: answers in time then prove nothing.
    pub(super) fn record_cold_report(&mut self, capacity: &EndpointCapacity, now: MonotonicTime) {
        self.has_load_reports = true;
        if self.cold_limit.is_none() {
            self.reset_to_cold(capacity, now);
        }
        self.cold_limit = Some(capacity.cold);
        self.reports_cold = true;
    }

    /// Notes that the endpoint reports itself as warm.
    pub(super) fn record_warm_report(&mut self) {
        self.has_load_reports = true;
        self.reports_cold = false;
    }

    /// Notes the run of the endpoint's process; returns whether it is a new one.
    pub(super) fn record_boot(&mut self, boot_id: &BootId, now: MonotonicTime) -> bool {
        self.last_seen = now;
        if self.boot_id.as_ref() == Some(boot_id) {
            return false;
        }
        let is_restart = self.boot_id.is_some();
        self.boot_id = Some(boot_id.clone());
        is_restart
    }

    /// Counts an answer, or a report of the same run, that shows the endpoint bears its load.
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

    /// Doubles the cold budget.
    pub(super) fn double_limit(&mut self, capacity: &EndpointCapacity) {
        let Some(cold_limit) = self.cold_limit else {
            return;
        };
        let least = BudgetAmount::new(1, 1);
        let next = cold_limit.plus(cold_limit).plus(least).component_min(capacity.warm);
        self.cold_limit = if next == capacity.warm { None } else { Some(next) };
    }

    /// Accepts proof from elsewhere that the run `boot_id` is warm.
    pub(super) fn prove(&mut self, boot_id: &BootId) {
        if self.boot_id.as_ref().is_none_or(|known| known == boot_id) {
            self.boot_id = Some(boot_id.clone());
            self.cold_limit = None;
            self.reports_cold = false;
        }
    }

    /// Counts a slow first token; returns how many there were in a row.
    pub(super) fn record_slow(&mut self) -> u32 {
        self.slow_answers += 1;
        self.slow_answers
    }

    /// Notes a sign of life.
    pub(super) fn record_seen(&mut self, now: MonotonicTime) {
        self.last_seen = self.last_seen.max(now);
    }
}

// Queries.
impl WarmupState {
    /// Returns how much the endpoint has proven that it bears.
    pub(super) fn limit(&self, capacity: &EndpointCapacity) -> BudgetAmount {
        self.cold_limit.map_or(capacity.warm, |cold_limit| cold_limit.component_min(capacity.warm))
    }

    /// Returns whether the endpoint counts as cold.
    pub(super) fn is_cold(&self) -> bool {
        self.cold_limit.is_some()
    }

    /// Returns the last sign of life.
    pub(super) fn last_seen(&self) -> MonotonicTime {
        self.last_seen
    }

    /// Returns the moment since when the endpoint counts as cold.
    pub(super) fn cold_since(&self) -> MonotonicTime {
        self.cold_since
    }

    /// Returns whether a load report was ever seen.
    pub(super) fn has_boot_id(&self) -> bool {
        self.boot_id.is_some()
    }
}

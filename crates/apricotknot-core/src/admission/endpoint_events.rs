//! Handling of endpoint events: capacity, duty, cold starts, load reports and cache changes.

use std::time::Duration;

use super::BudgetAmount;
use super::EndpointCapacity;
use super::LoadReport;
use super::PoolEvent;
use super::PoolScheduler;
use super::scheduled_endpoint::ScheduledEndpoint;
use super::timers::TimerKey;
use crate::types::BootId;
use crate::types::EndpointId;
use crate::types::MonotonicTime;

/// Time for which an unreachable endpoint gets no new work.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(2);

impl PoolScheduler {
    /// Applies an event of an endpoint; returns whether a waiting request might now be granted.
    pub(super) fn apply_endpoint_event(&mut self, event: PoolEvent, now: MonotonicTime) -> bool {
        match event {
            PoolEvent::EndpointUpdated { endpoint, capacity } => {
                self.set_endpoint(endpoint, capacity, now);
            },
            PoolEvent::EndpointRemoved { endpoint } => self.remove_endpoint(&endpoint),
            PoolEvent::AllowanceChanged { endpoint, allowance } => {
                self.set_allowance(&endpoint, allowance);
            },
            PoolEvent::LoadReported { endpoint, report } => {
                self.record_report(&endpoint, &report, now);
            },
            PoolEvent::BootSeen { endpoint, boot_id } => {
                self.record_boot(&endpoint, &boot_id, now);
                return self.record_reachable(&endpoint);
            },
            PoolEvent::WarmupProven { endpoint, boot_id } => {
                self.prove_warmup(&endpoint, &boot_id);
            },
            PoolEvent::ConnectionReset { endpoint } => {
                self.record_unreachable(endpoint, now);
                return false;
            },
            PoolEvent::CacheChanged { endpoint, block, change } => {
                self.prefixes.record_report(block, &endpoint, change);
                return false;
            },
            _ => return false,
        }
        true
    }

    fn set_endpoint(
        &mut self,
        endpoint: EndpointId,
        capacity: EndpointCapacity,
        now: MonotonicTime,
    ) {
        let scheduled = self
            .endpoints
            .entry(endpoint.clone())
            .or_insert_with(|| ScheduledEndpoint::new(capacity, now));
        if scheduled.is_removed {
            scheduled.is_removed = false;
            scheduled.warmup.reset_to_cold(&capacity, now);
        }
        scheduled.capacity = capacity;
        self.endpoint_for_increase(&endpoint);
        self.release_claims_at(&endpoint);
    }

    fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.release_claims_at(endpoint);
        self.prefixes.remove_endpoint(endpoint);
        let Some(scheduled) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        scheduled.is_removed = true;
        if scheduled.attempts.is_empty() {
            self.endpoints.remove(endpoint);
        }
    }

    fn set_allowance(&mut self, endpoint: &EndpointId, allowance: BudgetAmount) {
        if let Some(scheduled) = self.endpoint_for_increase(endpoint) {
            scheduled.set_allowance(allowance);
        }
        self.release_oversized_claim(endpoint);
    }

    fn record_report(&mut self, endpoint: &EndpointId, report: &LoadReport, now: MonotonicTime) {
        let gap = self.settings.max_report_gap;
        let Some(scheduled) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let is_first = !scheduled.warmup.has_boot_id();
        self.record_reachable(endpoint);
        if is_first {
            self.timers.set(now + gap, TimerKey::ReportGap(endpoint.clone()));
        }
        if self.record_boot(endpoint, &report.boot_id, now) {
            return;
        }
        let Some(scheduled) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let is_fresh = now >= scheduled.warmup.cold_since() + self.settings.confirm_interval;
        if report.cold {
            scheduled.warmup.record_cold_report(&scheduled.capacity, now);
            self.release_oversized_claim(endpoint);
        } else if is_fresh || is_first {
            scheduled.warmup.record_warm_report();
            scheduled.warmup.double_limit(&scheduled.capacity);
            self.endpoint_for_increase(endpoint);
        }
    }

    /// Records the boot id of an endpoint; returns whether its process has restarted. A restarted
    /// endpoint is cold and its prefix cache is empty.
    fn record_boot(&mut self, endpoint: &EndpointId, boot_id: &BootId, now: MonotonicTime) -> bool {
        let scheduled = self.endpoints.get_mut(endpoint);
        if !scheduled.is_some_and(|scheduled| scheduled.warmup.record_boot(boot_id, now)) {
            return false;
        }
        self.prefixes.remove_endpoint(endpoint);
        self.reset_to_cold(endpoint, now);
        true
    }

    fn prove_warmup(&mut self, endpoint: &EndpointId, boot_id: &BootId) {
        if let Some(scheduled) = self.endpoint_for_increase(endpoint) {
            scheduled.warmup.prove(boot_id);
        }
    }

    /// Resets an unreachable endpoint to its cold budget, and grants no work there until the pause
    /// expires or the endpoint answers or reports its load.
    fn record_unreachable(&mut self, endpoint: EndpointId, now: MonotonicTime) {
        self.reset_to_cold(&endpoint, now);
        self.release_claims_at(&endpoint);
        if let Some(scheduled) = self.endpoints.get_mut(&endpoint) {
            let until = now + UNREACHABLE_PAUSE;
            scheduled.unreachable_until = Some(until);
            self.timers.set(until, TimerKey::Reconnect(endpoint));
        }
    }

    /// Ends the pause of an unreachable endpoint; returns whether there was one.
    pub(super) fn record_reachable(&mut self, endpoint: &EndpointId) -> bool {
        let scheduled = self.endpoints.get_mut(endpoint);
        if scheduled.and_then(|scheduled| scheduled.unreachable_until.take()).is_none() {
            return false;
        }
        self.endpoint_for_increase(endpoint);
        true
    }

    /// Ends the pause of an unreachable endpoint if it has expired; returns whether it ended. A
    /// later failure extends the pause.
    pub(super) fn end_unreachable_pause(
        &mut self,
        endpoint: &EndpointId,
        now: MonotonicTime,
    ) -> bool {
        let until = self.endpoints.get(endpoint).and_then(|scheduled| scheduled.unreachable_until);
        until.is_some_and(|until| until <= now) && self.record_reachable(endpoint)
    }

    /// Resets an endpoint to its cold budget.
    pub(super) fn reset_to_cold(&mut self, endpoint: &EndpointId, now: MonotonicTime) {
        if let Some(scheduled) = self.endpoints.get_mut(endpoint) {
            scheduled.warmup.reset_to_cold(&scheduled.capacity, now);
        }
        self.release_oversized_claim(endpoint);
    }

    /// Resets an endpoint to its cold budget if it has not shown activity for too long.
    pub(super) fn check_report_gap(&mut self, endpoint: EndpointId, now: MonotonicTime) {
        let gap = self.settings.max_report_gap;
        let Some(scheduled) = self.endpoints.get(&endpoint) else {
            return;
        };
        let due = scheduled.warmup.last_seen() + gap;
        if due > now {
            self.timers.set(due, TimerKey::ReportGap(endpoint));
            return;
        }
        self.reset_to_cold(&endpoint, now);
        self.timers.set(now + gap, TimerKey::ReportGap(endpoint));
    }

    fn release_claims_at(&mut self, endpoint: &EndpointId) {
        for claim in &mut self.claims {
            if claim.as_ref().is_some_and(|(_, holder)| holder == endpoint) {
                *claim = None;
            }
        }
        if let Some(scheduled) = self.endpoint_for_increase(endpoint) {
            scheduled.claim = None;
        }
    }

    fn release_oversized_claim(&mut self, endpoint: &EndpointId) {
        let is_oversized = self.endpoints.get(endpoint).is_some_and(|scheduled| {
            scheduled
                .claim
                .is_some_and(|claim| claim.memory_tokens > scheduled.limit().memory_tokens)
        });
        if is_oversized {
            self.release_claims_at(endpoint);
        }
    }
}

//! Changes of endpoints: capacity, duty, cold starts, reports and cache events.

use std::time::Duration;

use super::BudgetAmount;
use super::EndpointCapacity;
use super::LoadReport;
use super::PoolEvent;
use super::PoolScheduler;
use super::slot::EndpointSlot;
use super::timers::TimerKey;
use crate::types::BootId;
use crate::types::EndpointId;
use crate::types::MonotonicTime;

/// Time for which an endpoint that could not be reached gets no new work.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(2);

// Commands.
impl PoolScheduler {
    /// Applies an event about an endpoint; returns whether a request might now be granted.
    pub(super) fn apply_endpoint(&mut self, event: PoolEvent, now: MonotonicTime) -> bool {
        match event {
            PoolEvent::EndpointSet { endpoint, capacity } => {
                self.set_endpoint(endpoint, capacity, now);
            },
            PoolEvent::EndpointRemoved { endpoint } => self.remove_endpoint(&endpoint),
            PoolEvent::AllowanceChanged { endpoint, allowance } => {
                self.set_allowance(&endpoint, allowance);
            },
            PoolEvent::EndpointReport { endpoint, report } => {
                self.note_report(&endpoint, &report, now);
            },
            PoolEvent::BootSeen { endpoint, boot_id } => {
                self.note_boot(&endpoint, &boot_id, now);
                return self.note_reachable(&endpoint);
            },
            PoolEvent::WarmthProven { endpoint, boot_id } => {
                self.prove_warmth(&endpoint, &boot_id);
            },
            PoolEvent::ConnectionReset { endpoint } => {
                self.note_unreachable(endpoint, now);
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
        let slot =
            self.slots.entry(endpoint.clone()).or_insert_with(|| EndpointSlot::new(capacity, now));
        if slot.removed {
            slot.removed = false;
            slot.warmth.chill(&capacity, now);
        }
        slot.capacity = capacity;
        self.growing_slot(&endpoint);
        self.drop_claims_at(&endpoint);
    }

    fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.drop_claims_at(endpoint);
        self.prefixes.remove_endpoint(endpoint);
        let Some(slot) = self.slots.get_mut(endpoint) else {
            return;
        };
        slot.removed = true;
        if slot.attempts.is_empty() {
            self.slots.remove(endpoint);
        }
    }

    fn set_allowance(&mut self, endpoint: &EndpointId, allowance: BudgetAmount) {
        if let Some(slot) = self.growing_slot(endpoint) {
            slot.set_allowance(allowance);
        }
        self.drop_oversized_claim(endpoint);
    }

    fn note_report(&mut self, endpoint: &EndpointId, report: &LoadReport, now: MonotonicTime) {
        let gap = self.settings.report_gap;
        let Some(slot) = self.slots.get_mut(endpoint) else {
            return;
        };
        let is_first = !slot.warmth.has_reported();
        self.note_reachable(endpoint);
        if is_first {
            self.timers.set(now + gap, TimerKey::Report(endpoint.clone()));
        }
        if self.note_boot(endpoint, &report.boot_id, now) {
            return;
        }
        let Some(slot) = self.slots.get_mut(endpoint) else {
            return;
        };
        let is_fresh = now >= slot.warmth.cold_since() + self.settings.confirm_interval;
        if report.cold {
            slot.warmth.note_cold_report(&slot.capacity, now);
            self.drop_oversized_claim(endpoint);
        } else if is_fresh || is_first {
            slot.warmth.note_warm_report();
            slot.warmth.double(&slot.capacity);
            self.growing_slot(endpoint);
        }
    }

    /// Notes the run of an endpoint; returns whether it is a new one, which starts cold.
    fn note_boot(&mut self, endpoint: &EndpointId, boot_id: &BootId, now: MonotonicTime) -> bool {
        let slot = self.slots.get_mut(endpoint);
        if !slot.is_some_and(|slot| slot.warmth.note_boot(boot_id, now)) {
            return false;
        }
        self.prefixes.remove_endpoint(endpoint);
        self.chill(endpoint, now);
        true
    }

    fn prove_warmth(&mut self, endpoint: &EndpointId, boot_id: &BootId) {
        if let Some(slot) = self.growing_slot(endpoint) {
            slot.warmth.prove(boot_id);
        }
    }

    /// Keeps new work away from an endpoint that could not be reached, for a while or until it
    /// shows itself, and puts it back to its cold budget.
    fn note_unreachable(&mut self, endpoint: EndpointId, now: MonotonicTime) {
        self.chill(&endpoint, now);
        self.drop_claims_at(&endpoint);
        if let Some(slot) = self.slots.get_mut(&endpoint) {
            let until = now + UNREACHABLE_PAUSE;
            slot.unreachable_until = Some(until);
            self.timers.set(until, TimerKey::Reach(endpoint));
        }
    }

    /// Lets new work go to an endpoint again; returns whether it was kept away.
    pub(super) fn note_reachable(&mut self, endpoint: &EndpointId) -> bool {
        let slot = self.slots.get_mut(endpoint);
        if slot.and_then(|slot| slot.unreachable_until.take()).is_none() {
            return false;
        }
        self.growing_slot(endpoint);
        true
    }

    /// Lets an endpoint be tried again, unless it failed once more since.
    pub(super) fn end_pause(&mut self, endpoint: &EndpointId, now: MonotonicTime) -> bool {
        let until = self.slots.get(endpoint).and_then(|slot| slot.unreachable_until);
        until.is_some_and(|until| until <= now) && self.note_reachable(endpoint)
    }

    /// Puts an endpoint back to its cold budget.
    pub(super) fn chill(&mut self, endpoint: &EndpointId, now: MonotonicTime) {
        if let Some(slot) = self.slots.get_mut(endpoint) {
            slot.warmth.chill(&slot.capacity, now);
        }
        self.drop_oversized_claim(endpoint);
    }

    /// Looks whether an endpoint's reports stopped.
    pub(super) fn check_report(&mut self, endpoint: EndpointId, now: MonotonicTime) {
        let gap = self.settings.report_gap;
        let Some(slot) = self.slots.get(&endpoint) else {
            return;
        };
        let due = slot.warmth.last_sign() + gap;
        if due > now {
            self.timers.set(due, TimerKey::Report(endpoint));
            return;
        }
        self.chill(&endpoint, now);
        self.timers.set(now + gap, TimerKey::Report(endpoint));
    }

    fn drop_claims_at(&mut self, endpoint: &EndpointId) {
        for claim in &mut self.claims {
            if claim.as_ref().is_some_and(|(_, holder)| holder == endpoint) {
                *claim = None;
            }
        }
        if let Some(slot) = self.growing_slot(endpoint) {
            slot.claim = None;
        }
    }

    fn drop_oversized_claim(&mut self, endpoint: &EndpointId) {
        let is_oversized = self.slots.get(endpoint).is_some_and(|slot| {
            slot.claim.is_some_and(|claim| claim.memory_tokens > slot.limit().memory_tokens)
        });
        if is_oversized {
            self.drop_claims_at(endpoint);
        }
    }
}

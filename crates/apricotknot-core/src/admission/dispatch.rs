//! Chooses the next request and its endpoint.

use super::DecisionVerdict;
use super::GrantTicket;
use super::PlacementReason;
use super::PoolAction;
use super::PoolScheduler;
use super::queue::VirtualTime;
use super::scheduler::GrantPhase;
use super::scheduler::GrantState;
use super::scheduler::QueuedRequest;
use super::slot::EndpointSlot;
use super::slot::ReserveRule;
use super::slot::RoomClaim;
use super::slot::SlotDemand;
use super::timers::TimerKey;
use crate::types::EndpointId;
use crate::types::LengthClass;
use crate::types::MonotonicTime;
use crate::types::RequestId;
use crate::types::TokenCount;

/// Accounts of one class whose first requests are tried before the class has to wait.
const SCAN_WIDTH: usize = 4;

/// Shares of a contended pool by class, shortest first.
const CLASS_WEIGHTS: [VirtualTime; 3] = [8, 4, 4];

/// Scales tokens so that division by a class weight loses little.
const CLASS_SCALE: VirtualTime = 1_000;

/// Priorities for the engine by class, shortest first.
const CLASS_PRIORITIES: [u8; 3] = [0, 4, 9];

/// Prompt tokens that each per mille of load weighs as much as.
const LOAD_TOKENS: u64 = 2;

// Commands.
impl PoolScheduler {
    /// Grants waiting requests until none fits any more.
    pub(super) fn dispatch(&mut self, now: MonotonicTime, actions: &mut Vec<PoolAction>) {
        while self.class_order().into_iter().any(|class| self.serve_class(class, now, actions)) {}
    }

    /// Tries to place a request that has just come; nothing else can have become grantable.
    pub(super) fn try_newcomer(
        &mut self,
        request: RequestId,
        class: LengthClass,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) {
        let heads = self.queues[class as usize].heads(SCAN_WIDTH);
        for head in heads {
            if head == request {
                self.try_request(request, now, actions);
                self.claim_room(class);
                return;
            }
            if !self.may_be_passed(head) {
                return;
            }
        }
    }

    fn serve_class(
        &mut self,
        class: LengthClass,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let claimant = self.claims[class as usize].as_ref().map(|(request, _)| *request);
        let heads = self.queues[class as usize].heads(SCAN_WIDTH);
        for request in claimant.into_iter().chain(heads) {
            if self.try_request(request, now, actions) {
                return true;
            }
            if !self.may_be_passed(request) {
                return false;
            }
        }
        self.claim_room(class);
        false
    }

    /// Grants a request if it fits anywhere; otherwise notes why not.
    fn try_request(
        &mut self,
        request: RequestId,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let Some(queued) = self.requests.get(&request) else {
            return false;
        };
        if queued.tried == Some(self.growths.newest()) {
            return false;
        }
        if let Some((endpoint, reason)) = self.place(queued) {
            self.grant(request, endpoint, reason, now, actions);
            return true;
        }
        self.note_shortage(request);
        let tried = Some(self.growths.newest());
        if let Some(queued) = self.requests.get_mut(&request) {
            queued.tried = tried;
        }
        false
    }

    fn grant(
        &mut self,
        request: RequestId,
        endpoint: EndpointId,
        reason: PlacementReason,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(queued) = self.forget_request(request) else {
            return;
        };
        let account = queued.submission.profile.account.clone();
        let (class, memory_tokens) = (queued.class, queued.memory_tokens);
        let weight = self.accounts.weight(&account);
        self.queues[class as usize].serve(&account, queued.number, memory_tokens, weight);
        self.charge_class(class, memory_tokens);
        self.drain.note(memory_tokens, now);
        let submission = &queued.submission;
        let (attempt, demand) = (submission.attempt, queued.demand());
        if let Some(slot) = self.slots.get_mut(&endpoint) {
            slot.take(attempt, &account, &demand);
        }
        self.prefixes.record_grant(&submission.profile.prefix_blocks, &endpoint);
        let ticket = self.ticket(&queued, endpoint.clone(), reason, now);
        let verdict = DecisionVerdict::Granted { attempt, endpoint, reason };
        self.record(&queued, verdict, now);
        let due_at = ticket.expires_at + self.settings.start_timeout;
        self.timers.set(due_at, TimerKey::Attempt(attempt));
        actions.push(PoolAction::Grant(Box::new(ticket.clone())));
        let grant = GrantState {
            ticket,
            class,
            phase: GrantPhase::Granted,
            deadline: submission.profile.deadline,
            due_at,
            prefill_tokens: demand.prompt_tokens,
            prompt_tokens: demand.prompt_tokens,
            active: true,
        };
        self.grants.insert(attempt, grant);
    }

    /// Keeps room for the first request of a class that can't be placed.
    fn claim_room(&mut self, class: LengthClass) {
        if class == LengthClass::Short || self.claims[class as usize].is_some() {
            return;
        }
        let Some(request) = self.queues[class as usize].heads(1).first().copied() else {
            return;
        };
        let Some(queued) = self.requests.get(&request) else {
            return;
        };
        let (demand, rule) = (queued.demand(), self.reserve_rule());
        let slots = self.usable_slots(&queued.submission.excluded);
        let free = slots.filter(|(_, slot)| slot.claim.is_none());
        let excesses =
            free.filter_map(|(endpoint, slot)| Some((slot.excess(&demand, rule)?, endpoint)));
        let Some((_, endpoint)) = excesses.min() else {
            return;
        };
        let endpoint = endpoint.clone();
        if let Some(slot) = self.slots.get_mut(&endpoint) {
            let memory_tokens = demand.memory_tokens;
            slot.claim = Some(RoomClaim { request, memory_tokens });
            self.claims[class as usize] = Some((request, endpoint));
        }
    }

    fn charge_class(&mut self, class: LengthClass, tokens: TokenCount) {
        let index = class as usize;
        self.class_time = self.class_time.max(self.class_service[index]);
        let charge = VirtualTime::from(tokens.max(1)) * CLASS_SCALE / CLASS_WEIGHTS[index];
        self.class_service[index] += charge;
    }
}

// Queries.
impl PoolScheduler {
    fn class_order(&self) -> [LengthClass; 3] {
        let mut classes = LengthClass::ALL;
        classes.sort_by_key(|class| self.class_service[*class as usize]);
        classes
    }

    /// Returns how much is kept for short prompts.
    pub(super) fn reserve_rule(&self) -> ReserveRule {
        ReserveRule::of_spec(&self.settings.spec)
    }

    /// Returns the endpoints that may get new work.
    pub(super) fn usable_slots<'a>(
        &'a self,
        excluded: &'a [EndpointId],
    ) -> impl Iterator<Item = (&'a EndpointId, &'a EndpointSlot)> {
        let slots = self.slots.iter();
        slots.filter(|(endpoint, slot)| slot.is_on_duty() && !excluded.contains(endpoint))
    }

    /// Returns the endpoints that may have room for a request since it was last tried.
    fn untried_slots<'a>(
        &'a self,
        queued: &'a QueuedRequest,
    ) -> Vec<(&'a EndpointId, &'a EndpointSlot)> {
        let excluded = &queued.submission.excluded;
        let grown = queued.tried.and_then(|number| self.growths.since(number));
        let Some(grown) = grown else {
            return self.usable_slots(excluded).collect();
        };
        let slots = grown.into_iter().filter_map(|endpoint| self.slots.get_key_value(endpoint));
        let usable =
            slots.filter(|(endpoint, slot)| slot.is_on_duty() && !excluded.contains(endpoint));
        usable.collect()
    }

    /// Returns whether later requests of the same class may be granted before this one.
    ///
    /// A short prompt is passed only when it must not use some endpoint, since no room is kept
    /// for it; longer ones have room kept.
    fn may_be_passed(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_none_or(|queued| {
            queued.class != LengthClass::Short || !queued.submission.excluded.is_empty()
        })
    }

    /// Chooses the endpoint with room where the request has least work before it.
    fn place(&self, queued: &QueuedRequest) -> Option<(EndpointId, PlacementReason)> {
        let (demand, rule) = (queued.demand(), self.reserve_rule());
        let profile = &queued.submission.profile;
        let mut open = self.untried_slots(queued);
        open.retain(|(_, slot)| slot.fits(&demand, rule).is_ok());
        if open.is_empty() {
            return None;
        }
        let mut best: Option<(u64, &EndpointId, TokenCount)> = None;
        let mut seen = 0;
        let cached = self.prefixes.cached_tokens(&profile.prefix_blocks);
        for (endpoint, slot) in open {
            seen += 1;
            let known = cached.iter().find(|(holder, _)| holder == endpoint);
            let saved = known.map_or(0, |(_, tokens)| (*tokens).min(profile.prompt_tokens));
            let ahead = slot.prefill_before(queued.class);
            let cost = ahead + slot.used_permille() * LOAD_TOKENS + profile.prompt_tokens - saved;
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, endpoint, saved));
            }
        }
        let (_, endpoint, saved) = best?;
        let reason = match (seen, saved) {
            (1, _) => PlacementReason::OnlyFit,
            (_, 0) => PlacementReason::LeastWork,
            _ => PlacementReason::PrefixCached,
        };
        Some((endpoint.clone(), reason))
    }

    fn ticket(
        &self,
        queued: &QueuedRequest,
        endpoint: EndpointId,
        reason: PlacementReason,
        now: MonotonicTime,
    ) -> GrantTicket {
        let submission = &queued.submission;
        GrantTicket {
            request: submission.profile.id,
            attempt: submission.attempt,
            account: submission.profile.account.clone(),
            node: submission.node.clone(),
            endpoint,
            pool: self.settings.pool.clone(),
            epoch: self.settings.epoch,
            fencing: self.settings.fencing,
            memory_tokens: queued.memory_tokens,
            granted_at: now,
            expires_at: now + self.settings.start_timeout,
            start_within: self.settings.start_timeout,
            priority: CLASS_PRIORITIES[queued.class as usize],
            reason,
            queued_for: now.saturating_sub(queued.arrived_at),
        }
    }
}

impl QueuedRequest {
    /// Returns what the request needs of an endpoint.
    pub(super) fn demand(&self) -> SlotDemand {
        SlotDemand {
            request: self.submission.profile.id,
            class: self.class,
            memory_tokens: self.memory_tokens,
            prompt_tokens: self.submission.profile.prompt_tokens,
        }
    }
}

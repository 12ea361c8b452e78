//! Choice of the next request to grant and of its endpoint.

use super::DecisionOutcome;
use super::GrantTicket;
use super::PlacementReason;
use super::PoolAction;
use super::PoolScheduler;
use super::queue::VirtualTime;
use super::scheduled_endpoint::CapacityClaim;
use super::scheduled_endpoint::RequestDemand;
use super::scheduled_endpoint::ReserveRule;
use super::scheduled_endpoint::ScheduledEndpoint;
use super::scheduler::GrantPhase;
use super::scheduler::GrantState;
use super::scheduler::QueuedRequest;
use super::timers::TimerKey;
use crate::types::EndpointId;
use crate::types::LengthClass;
use crate::types::MonotonicTime;
use crate::types::RequestId;
use crate::types::TokenCount;

/// Accounts of one class whose first requests are tried before the class waits.
const MAX_SCANNED_ACCOUNTS: usize = 4;

/// Weights of the length classes in a contended pool, shortest class first.
const CLASS_WEIGHTS: [VirtualTime; 3] = [8, 4, 4];

/// Scale of tokens in virtual time; keeps the rounding error of a division by a class weight small.
const CLASS_SCALE: VirtualTime = 1_000;

/// Priorities at the engine by length class, shortest class first.
const CLASS_PRIORITIES: [u8; 3] = [0, 4, 9];

/// Prompt tokens that one per mille of endpoint load costs in the choice of an endpoint.
const TOKENS_PER_LOAD_PERMILLE: u64 = 2;

impl PoolScheduler {
    /// Grants waiting requests until no further one can be granted.
    pub(super) fn dispatch(&mut self, now: MonotonicTime, actions: &mut Vec<PoolAction>) {
        while self.class_order().into_iter().any(|class| self.serve_class(class, now, actions)) {}
    }

    /// Tries to grant a request that was just queued; no other request can have become grantable.
    pub(super) fn try_new_request(
        &mut self,
        request: RequestId,
        class: LengthClass,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) {
        let heads = self.queues[class as usize].heads(MAX_SCANNED_ACCOUNTS);
        for head in heads {
            if head == request {
                self.try_request(request, now, actions);
                self.claim_capacity(class);
                return;
            }
            if !self.may_be_overtaken(head) {
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
        let heads = self.queues[class as usize].heads(MAX_SCANNED_ACCOUNTS);
        for request in claimant.into_iter().chain(heads) {
            if self.try_request(request, now, actions) {
                return true;
            }
            if !self.may_be_overtaken(request) {
                return false;
            }
        }
        self.claim_capacity(class);
        false
    }

    /// Grants a request if it fits at an endpoint; otherwise records the shortage.
    fn try_request(
        &mut self,
        request: RequestId,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let Some(queued) = self.requests.get(&request) else {
            return false;
        };
        if queued.tried_version == Some(self.capacity_log.newest()) {
            return false;
        }
        if let Some((endpoint, reason)) = self.choose_endpoint(queued) {
            self.grant(request, endpoint, reason, now, actions);
            return true;
        }
        self.record_shortage(request);
        let tried_version = Some(self.capacity_log.newest());
        if let Some(queued) = self.requests.get_mut(&request) {
            queued.tried_version = tried_version;
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
        let Some(queued) = self.remove_request(request) else {
            return;
        };
        let account = queued.submission.profile.account.clone();
        let (class, memory_tokens) = (queued.class, queued.memory_tokens);
        let weight = self.accounts.weight(&account);
        self.queues[class as usize].serve(&account, queued.number, memory_tokens, weight);
        self.charge_class(class, memory_tokens);
        self.grant_rate.record(memory_tokens, now);
        let submission = &queued.submission;
        let (attempt, demand) = (submission.attempt, queued.demand());
        if let Some(scheduled) = self.endpoints.get_mut(&endpoint) {
            scheduled.charge(attempt, &account, &demand);
        }
        self.prefixes.record_grant(&submission.profile.prefix_blocks, &endpoint);
        let ticket = self.ticket(&queued, endpoint.clone(), reason, now);
        let outcome = DecisionOutcome::Granted { attempt, endpoint, reason };
        self.record_decision(&queued, outcome, now);
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
            is_active: true,
        };
        self.grants.insert(attempt, grant);
    }

    /// Claims capacity for the first waiting request of a class, at the endpoint where the least
    /// memory has to become free. Short requests never claim capacity.
    fn claim_capacity(&mut self, class: LengthClass) {
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
        let endpoints = self.usable_endpoints(&queued.submission.excluded);
        let free = endpoints.filter(|(_, scheduled)| scheduled.claim.is_none());
        let excesses = free
            .filter_map(|(endpoint, scheduled)| Some((scheduled.excess(&demand, rule)?, endpoint)));
        let Some((_, endpoint)) = excesses.min() else {
            return;
        };
        let endpoint = endpoint.clone();
        if let Some(scheduled) = self.endpoints.get_mut(&endpoint) {
            let memory_tokens = demand.memory_tokens;
            scheduled.claim = Some(CapacityClaim { request, memory_tokens });
            self.claims[class as usize] = Some((request, endpoint));
        }
    }

    /// Charges granted tokens to a length class and advances the virtual time of the classes.
    fn charge_class(&mut self, class: LengthClass, tokens: TokenCount) {
        let index = class as usize;
        self.class_virtual_time = self.class_virtual_time.max(self.class_start_tags[index]);
        let charge = VirtualTime::from(tokens.max(1)) * CLASS_SCALE / CLASS_WEIGHTS[index];
        self.class_start_tags[index] += charge;
    }
}

impl PoolScheduler {
    fn class_order(&self) -> [LengthClass; 3] {
        let mut classes = LengthClass::ALL;
        classes.sort_by_key(|class| self.class_start_tags[*class as usize]);
        classes
    }

    /// Returns the capacity rule that reserves part of each endpoint for short prompts.
    pub(super) fn reserve_rule(&self) -> ReserveRule {
        ReserveRule::from_spec(&self.settings.spec)
    }

    /// Returns the endpoints that accept new work and are not excluded.
    pub(super) fn usable_endpoints<'a>(
        &'a self,
        excluded: &'a [EndpointId],
    ) -> impl Iterator<Item = (&'a EndpointId, &'a ScheduledEndpoint)> {
        let endpoints = self.endpoints.iter();
        endpoints.filter(|(endpoint, scheduled)| {
            scheduled.accepts_work() && !excluded.contains(endpoint)
        })
    }

    /// Returns the usable endpoints whose free capacity may have increased since the request was
    /// last tried.
    fn untried_endpoints<'a>(
        &'a self,
        queued: &'a QueuedRequest,
    ) -> Vec<(&'a EndpointId, &'a ScheduledEndpoint)> {
        let excluded = &queued.submission.excluded;
        let increased =
            queued.tried_version.and_then(|number| self.capacity_log.increased_since(number));
        let Some(increased) = increased else {
            return self.usable_endpoints(excluded).collect();
        };
        let endpoints =
            increased.into_iter().filter_map(|endpoint| self.endpoints.get_key_value(endpoint));
        let usable = endpoints.filter(|(endpoint, scheduled)| {
            scheduled.accepts_work() && !excluded.contains(endpoint)
        });
        usable.collect()
    }

    /// Returns whether later requests of the same class may be granted before this one.
    ///
    /// A short request may be overtaken only if it excludes an endpoint, because it claims no
    /// capacity and could starve; a longer one claims capacity and cannot.
    fn may_be_overtaken(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_none_or(|queued| {
            queued.class != LengthClass::Short || !queued.submission.excluded.is_empty()
        })
    }

    /// Chooses the endpoint with enough free capacity and the lowest cost for the request: the
    /// prefill work ahead of it and its own, less its cached prefix, and the load of the endpoint.
    fn choose_endpoint(&self, queued: &QueuedRequest) -> Option<(EndpointId, PlacementReason)> {
        let (demand, rule) = (queued.demand(), self.reserve_rule());
        let profile = &queued.submission.profile;
        let mut candidates = self.untried_endpoints(queued);
        candidates.retain(|(_, scheduled)| scheduled.check_fit(&demand, rule).is_ok());
        if candidates.is_empty() {
            return None;
        }
        let mut best: Option<(u64, &EndpointId, TokenCount)> = None;
        let mut candidate_count = 0;
        let cached = self.prefixes.cached_tokens(&profile.prefix_blocks);
        for (endpoint, scheduled) in candidates {
            candidate_count += 1;
            let known = cached.iter().find(|(holder, _)| holder == endpoint);
            let saved = known.map_or(0, |(_, tokens)| (*tokens).min(profile.prompt_tokens));
            let ahead = scheduled.prefill_ahead(queued.class);
            let cost = ahead
                + scheduled.used_permille() * TOKENS_PER_LOAD_PERMILLE
                + profile.prompt_tokens
                - saved;
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, endpoint, saved));
            }
        }
        let (_, endpoint, saved) = best?;
        let reason = match (candidate_count, saved) {
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
    /// Returns the capacity that the request needs at an endpoint.
    pub(super) fn demand(&self) -> RequestDemand {
        RequestDemand {
            request: self.submission.profile.id,
            class: self.class,
            memory_tokens: self.memory_tokens,
            prompt_tokens: self.submission.profile.prompt_tokens,
        }
    }
}

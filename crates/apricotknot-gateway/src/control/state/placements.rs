//! Placement of requests, from their arrival to the end of their attempts.

use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::HelperPart;
use apricotknot_core::fleet::PlacementDecision;
use apricotknot_core::fleet::PlacementEvidence;
use apricotknot_core::fleet::PlacementPlan;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::PlacementVerdict;
use apricotknot_core::fleet::QueuePosition;
use apricotknot_core::fleet::WaitCause;
use apricotknot_core::fleet::place;
use apricotknot_core::fleet::refuse_hopeless;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::MonotonicTime;

use super::ControlState;
use crate::control::AttemptGuard;
use crate::control::EndpointGrant;
use crate::control::HelperGrant;
use crate::control::PlacementRefusal;
use crate::control::PlacementRequest;
use crate::control::wait_queue::PlacementSender;
use crate::control::wait_queue::WaitingRequest;

/// Refusal of a request that crashes endpoints, or that has a part that does.
const QUARANTINE_REFUSAL: PlacementRefusal = PlacementRefusal {
    reason: "crashes endpoints",
    retry_after: Duration::from_secs(30),
    evidence: None,
};

/// Retry delay that callers are given when a retry is not allowed or no endpoint has room.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl ControlState {
    /// Returns whether a request must not be sent; one node probes quarantined parts for all.
    fn is_quarantined(&mut self, request: &PlacementRequest, now: MonotonicTime) -> bool {
        let may_probe = self.registry.is_first(&self.node);
        self.quarantine.refuses(request, may_probe, now)
    }

    pub(super) fn request_placement(
        &mut self,
        request: Box<PlacementRequest>,
        reply: PlacementSender,
        now: MonotonicTime,
    ) {
        if self.is_quarantined(&request, now) {
            let _ = reply.send(Err(QUARANTINE_REFUSAL));
            return;
        }
        let nodes = self.fleet.node_count();
        let limiter = self.retry_limiters.entry(Arc::clone(&request.query.service)).or_default();
        if !request.is_retry {
            limiter.record_request(&self.limits.retries, now);
        } else if !limiter.try_retry(&self.limits.retries, nodes, now) {
            let refusal = PlacementRefusal {
                reason: "retry budget spent",
                retry_after: DEFAULT_RETRY_AFTER,
                evidence: None,
            };
            let _ = reply.send(Err(refusal));
            return;
        }
        let mut waiting = WaitingRequest { request, reply, waits_for: None };
        if !self.needs_peers(&waiting.request.query.service, now) {
            let unreached = std::mem::take(&mut waiting.request.unreached);
            waiting.request.query.excluded.extend(unreached);
        }
        let query = &waiting.request.query;
        let tokens_ahead = self.wait_queue.tokens_before(query);
        if let Some(decision) = refuse_hopeless(&self.fleet, query, tokens_ahead, now) {
            let verdict = PlacementVerdict::held(decision, WaitCause::Turn);
            self.carry_out(waiting, verdict, now);
            return;
        }
        let position = self.queue_position(query, now);
        if let Some(waiting) = self.try_place(waiting, position, now) {
            self.wait_queue.push(waiting);
        }
    }

    pub(super) fn place_waiting(&mut self, now: MonotonicTime) {
        for request in self.wait_queue.take_ordered(now) {
            if self.is_quarantined(&request.request, now) {
                let _ = request.reply.send(Err(QUARANTINE_REFUSAL));
                continue;
            }
            let position = self.queue_position(&request.request.query, now);
            if let Some(request) = self.try_place(request, position, now) {
                self.wait_queue.push(request);
            }
        }
    }

    /// Returns the position of `query` among the requests that wait at any node.
    fn queue_position(&self, query: &PlacementQuery, now: MonotonicTime) -> QueuePosition {
        let peers = self.fleet.peer_waits(now).filter(|wait| {
            let is_before = wait.arrived < query.arrived && wait.prompt <= query.size.prompt;
            is_before && !wait.is_held_by_price
        });
        QueuePosition {
            rank: self.wait_queue.count_before(query) + peers.count(),
            ahead: self.wait_queue.count_for(&query.service),
        }
    }

    /// Answers a request if an endpoint is found or it is refused; returns it if it has to wait.
    fn try_place(
        &mut self,
        waiting: WaitingRequest,
        position: QueuePosition,
        now: MonotonicTime,
    ) -> Option<WaitingRequest> {
        self.placement_count += 1;
        let verdict = place(&self.fleet, &waiting.request.query, position, now);
        self.carry_out(waiting, verdict, now)
    }

    /// Carries out the verdict on a request; returns the request if it has to wait.
    fn carry_out(
        &mut self,
        waiting: WaitingRequest,
        verdict: PlacementVerdict,
        now: MonotonicTime,
    ) -> Option<WaitingRequest> {
        let PlacementVerdict { decision, evidence } = verdict;
        let (reason, retry_after) = match decision {
            PlacementDecision::Wait if waiting.request.may_wait => {
                return Some(WaitingRequest { waits_for: evidence.cause, ..waiting });
            },
            PlacementDecision::Wait => ("no room", DEFAULT_RETRY_AFTER),
            PlacementDecision::Refuse { reason, retry_after } => (reason, retry_after),
            PlacementDecision::Send(plan) => {
                self.grant(waiting, plan, evidence, now);
                return None;
            },
        };
        let refusal = PlacementRefusal { reason, retry_after, evidence: Some(evidence) };
        let _ = waiting.reply.send(Err(refusal));
        None
    }

    fn grant(
        &mut self,
        waiting: WaitingRequest,
        plan: PlacementPlan,
        evidence: PlacementEvidence,
        now: MonotonicTime,
    ) {
        let query = &waiting.request.query;
        let helpers: Option<Vec<HelperGrant>> =
            plan.helpers.iter().map(|part| self.grant_helper(part, query, now)).collect();
        let state = self.fleet.endpoint(&plan.endpoint);
        let (Some(address), Some(helpers)) = (state.map(|state| state.entry.address), helpers)
        else {
            return;
        };
        let attempt = waiting.request.attempt;
        let path = self.path_to(&plan.endpoint, query, now);
        let probes = path.is_relayed() && self.fleet.take_probe(&query.service, now);
        self.fleet.record_start(attempt, query, &plan, now);
        self.has_unsent_changes = true;
        let (endpoint, expected_start) = (plan.endpoint, plan.expected_start);
        let is_rate_limited = self.fleet.stated_limit(&endpoint).is_some();
        let guard = AttemptGuard::new(self.handle.clone(), attempt);
        let grant = EndpointGrant {
            guard,
            endpoint,
            address,
            path,
            probes,
            helpers,
            is_rate_limited,
            expected_start,
            evidence,
            waited_for: waiting.waits_for,
        };
        // A grant that is not received reports its end when it is dropped.
        let _ = waiting.reply.send(Ok(grant));
    }

    fn grant_helper(
        &self,
        part: &HelperPart,
        query: &PlacementQuery,
        now: MonotonicTime,
    ) -> Option<HelperGrant> {
        let address = self.fleet.endpoint(&part.endpoint)?.entry.address;
        let path = self.path_to(&part.endpoint, query, now);
        let (endpoint, memory) = (Arc::clone(&part.endpoint), part.memory);
        Some(HelperGrant { endpoint, address, path, memory })
    }

    pub(super) fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd, now: MonotonicTime) {
        let runner = self.fleet.runner(attempt).cloned();
        self.fleet.record_end(attempt, end, now);
        // The endpoint may have room again.
        self.next_pass = now;
        let Some(endpoint) = runner else {
            return;
        };
        match end {
            AttemptEnd::Unreachable => {
                if !self.crash_suspects.contains(&endpoint) {
                    self.crash_suspects.push(Arc::clone(&endpoint));
                }
                self.record_path(&endpoint, false, now);
            },
            AttemptEnd::Gone => self.quarantine.confirm_crashes(&endpoint, now),
            _ => {},
        }
    }
}

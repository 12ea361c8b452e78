//! Grants from the pools that this node owns, and reports about them.

use std::time::Duration;

use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::GrantCharge;
use apricotknot_core::admission::GrantTicket;
use apricotknot_core::admission::PoolAction;
use apricotknot_core::admission::PoolEvent;
use apricotknot_core::admission::RefusalNotice;
use apricotknot_core::admission::RefusalReason;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::IncarnationNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::PoolId;
use apricotknot_wire::message::GrantReply;
use apricotknot_wire::message::GrantRequest;
use apricotknot_wire::message::OwnerHint;
use apricotknot_wire::message::PoolReport;
use apricotknot_wire::message::ReportKind;
use tokio::sync::oneshot;

use super::ControlEffect;
use super::ControlState;
use super::ReplyTarget;
use super::RunningGrant;
use crate::control::AttemptReport;
use crate::control::SubmitCommand;

/// Time after which a caller should retry a request that no pool can grant at present.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time that an attempt may hold memory of its endpoint.
const MAX_HOLD: Duration = Duration::from_secs(600);

impl ControlState {
    /// Handles a peer's request for a grant; answers with the owner's name if this node does not
    /// own the pool.
    pub(in crate::control) fn submit_for_peer(
        &mut self,
        request: GrantRequest,
        reply: oneshot::Sender<GrantReply>,
        now: MonotonicTime,
    ) {
        if !self.owns(&request.pool) {
            let _ = reply.send(GrantReply::NotOwner(self.owner_hint(&request.pool)));
            return;
        }
        self.enqueue(&request.pool, request.submission, ReplyTarget::Peer(reply), now);
    }

    /// Applies reports about attempts that this node granted.
    pub(in crate::control) fn apply_reports(
        &mut self,
        reports: Vec<PoolReport>,
        now: MonotonicTime,
    ) {
        for report in reports {
            let pool = report.pool;
            if let ReportKind::Withdrawn { request, attempt } = report.kind {
                self.reply_targets.remove(&attempt);
                self.suspects.remove(attempt);
                self.dispatch(&pool, PoolEvent::Withdraw { request }, now);
                self.dispatch(&pool, unsent_event(attempt), now);
                continue;
            }
            self.record_suspects(&report.kind, now);
            if let Some(event) = pool_event(report.kind) {
                self.dispatch(&pool, event, now);
            }
        }
    }

    /// Notifies all pools that a node left the fleet, and drops the reports queued for it.
    pub(in crate::control) fn remove_node(&mut self, node: &NodeId, now: MonotonicTime) {
        for pool in self.pool_names() {
            self.dispatch(&pool, PoolEvent::NodeStopped { node: node.clone() }, now);
        }
        self.outbox.remove(node);
    }

    /// Records proof that no process of a member that left was running at `seen_at`.
    pub(in crate::control) fn record_exit(
        &mut self,
        node: &NodeId,
        incarnation: IncarnationNumber,
        seen_at: MonotonicTime,
    ) {
        self.shares.record_stopped_node(node, incarnation, seen_at);
    }

    /// Passes `event` to the scheduler of `pool`, and executes the actions that it returns.
    pub(super) fn dispatch(&mut self, pool: &PoolId, event: PoolEvent, now: MonotonicTime) {
        let Some(scheduler) = self.pools.get_mut(pool) else {
            return;
        };
        let actions = scheduler.handle(event, now);
        let freed = scheduler.take_freed();
        for attempt in freed {
            self.shares.credit(attempt);
            self.shares.finish(attempt);
            self.suspects.remove(attempt);
        }
        for action in actions {
            self.execute(pool, action, now);
        }
    }

    /// Removes requests of peers that no longer wait for a reply.
    fn drop_abandoned(&mut self) {
        let is_abandoned = |reply: &ReplyTarget| match reply {
            ReplyTarget::Peer(reply) => reply.is_closed(),
            _ => false,
        };
        let abandoned = self.reply_targets.extract_if(|_, reply| is_abandoned(reply));
        let abandoned: Vec<AttemptId> = abandoned.map(|(attempt, _)| attempt).collect();
        for attempt in abandoned {
            self.suspects.remove(attempt);
        }
    }

    /// Advances every pool to `now`.
    pub(super) fn tick_pools(&mut self, now: MonotonicTime) {
        self.drop_abandoned();
        for pool in self.pool_names() {
            self.dispatch(&pool, PoolEvent::Tick, now);
        }
    }

    fn execute(&mut self, pool: &PoolId, action: PoolAction, now: MonotonicTime) {
        match action {
            PoolAction::Grant(ticket) => self.grant(pool, *ticket, now),
            PoolAction::Refuse(notice) => self.refuse(*notice),
            PoolAction::CancelAttempt { attempt, endpoint } => {
                let pool = pool.clone();
                self.effects.push(ControlEffect::Cancel { pool, attempt, endpoint });
            },
        }
    }

    fn grant(&mut self, pool: &PoolId, ticket: GrantTicket, now: MonotonicTime) {
        let attempt = ticket.attempt;
        let is_delivered = match self.charge(&ticket, now) {
            Some(charge) => self.deliver(ticket, charge),
            None => {
                self.postpone(&ticket, now);
                // The scheduler must have the smaller allowance before it grants again, or every
                // queued request runs into the same shortage.
                self.refresh_allowances(now);
                false
            },
        };
        if !is_delivered {
            self.dispatch(pool, unsent_event(attempt), now);
        }
    }

    fn charge(&mut self, ticket: &GrantTicket, now: MonotonicTime) -> Option<GrantCharge> {
        if !self.may_act {
            return None;
        }
        let amount = BudgetAmount::new(ticket.memory_tokens, 1);
        let wanted = (amount, MAX_HOLD);
        let charged =
            self.shares.charge(&ticket.endpoint, ticket.attempt, &ticket.node, wanted, now);
        charged.ok()
    }

    fn deliver(&mut self, ticket: GrantTicket, charge: GrantCharge) -> bool {
        let attempt = ticket.attempt;
        match self.reply_targets.remove(&attempt) {
            None => false,
            Some(ReplyTarget::Peer(reply)) => {
                let ticket = Box::new(ticket);
                reply.send(GrantReply::Granted { ticket, charges: charge.parts }).is_ok()
            },
            Some(ReplyTarget::Forwarded(reply) | ReplyTarget::Own(reply, _)) => {
                let owner = self.node.clone();
                let endpoint = ticket.endpoint.clone();
                if self.shares.accept(charge).is_err() || reply.send(Ok(ticket)).is_err() {
                    return false;
                }
                self.running.insert(attempt, RunningGrant { owner, endpoint });
                true
            },
        }
    }

    /// Answers a request for which there is no share at present: a peer retries it by itself, and
    /// a request of this node is deferred.
    fn postpone(&mut self, ticket: &GrantTicket, now: MonotonicTime) {
        match self.reply_targets.remove(&ticket.attempt) {
            Some(ReplyTarget::Peer(reply)) => {
                let _ = reply.send(GrantReply::NotOwner(self.owner_hint(&ticket.pool)));
            },
            Some(ReplyTarget::Forwarded(reply)) => _ = reply.send(Err(shortage_refusal(ticket))),
            Some(ReplyTarget::Own(reply, submission)) => {
                let pool = ticket.pool.clone();
                self.defer(SubmitCommand { pool, submission: *submission, reply }, now);
            },
            None => {},
        }
    }

    /// Sends a refusal to the traffic thread or peer that waits for the grant.
    pub(super) fn refuse(&mut self, notice: RefusalNotice) {
        self.suspects.remove(notice.attempt);
        match self.reply_targets.remove(&notice.attempt) {
            None => {},
            Some(ReplyTarget::Forwarded(reply) | ReplyTarget::Own(reply, _)) => {
                let _ = reply.send(Err(notice));
            },
            Some(ReplyTarget::Peer(reply)) => {
                let _ = reply.send(GrantReply::Refused(Box::new(notice)));
            },
        }
    }

    /// Returns the owner of `pool` as a hint for a peer that sent its request to this node.
    pub(super) fn owner_hint(&self, pool: &PoolId) -> OwnerHint {
        let owner = self.placement.owner_of(pool).cloned();
        OwnerHint { owner: owner.unwrap_or_default(), epoch: self.placement.epoch }
    }

    /// Returns whether this node owns `pool` and may grant from it.
    pub(super) fn owns(&self, pool: &PoolId) -> bool {
        self.may_act
            && self.placement.owner_of(pool) == Some(&self.node)
            && self.pools.contains_key(pool)
    }
}

/// Returns the refusal of a request that no node can grant at present.
pub(super) fn no_endpoint_refusal(submission: &RequestSubmission) -> RefusalNotice {
    RefusalNotice {
        request: submission.profile.id,
        attempt: submission.attempt,
        node: submission.node.clone(),
        reason: RefusalReason::NoEndpoint,
        retry_after: RETRY_AFTER,
        shortage: None,
    }
}

fn shortage_refusal(ticket: &GrantTicket) -> RefusalNotice {
    RefusalNotice {
        request: ticket.request,
        attempt: ticket.attempt,
        node: ticket.node.clone(),
        reason: RefusalReason::NoEndpoint,
        retry_after: RETRY_AFTER,
        shortage: None,
    }
}

/// Returns the event of an attempt that was granted but never sent.
pub(super) fn unsent_event(attempt: AttemptId) -> PoolEvent {
    ended_event(AttemptReport::unsent("".into(), attempt))
}

/// Returns the event of an attempt that ended.
pub(super) fn ended_event(report: AttemptReport) -> PoolEvent {
    PoolEvent::AttemptEnded {
        attempt: report.attempt,
        outcome: report.outcome,
        confirmed_free: report.confirmed_free,
        usage: report.usage,
    }
}

fn pool_event(kind: ReportKind) -> Option<PoolEvent> {
    let event = match kind {
        ReportKind::Crashed { .. } => return None,
        ReportKind::Withdrawn { request, .. } => PoolEvent::Withdraw { request },
        ReportKind::Started { attempt } => PoolEvent::Started { attempt },
        ReportKind::FirstToken { attempt, after } => PoolEvent::FirstToken { attempt, after },
        ReportKind::Ended { attempt, outcome, confirmed_free, usage } => {
            PoolEvent::AttemptEnded { attempt, outcome, confirmed_free, usage }
        },
        ReportKind::ConnectionReset { endpoint } => PoolEvent::ConnectionReset { endpoint },
        ReportKind::BootSeen { endpoint, boot } => PoolEvent::BootSeen { endpoint, boot_id: boot },
    };
    Some(event)
}

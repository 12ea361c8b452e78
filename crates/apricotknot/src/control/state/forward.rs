//! Grant requests and reports of this node's traffic threads, to its own and to other nodes' pools.

use std::time::Duration;

use apricotknot_core::admission::ChargePart;
use apricotknot_core::admission::GrantCharge;
use apricotknot_core::admission::GrantTicket;
use apricotknot_core::admission::PoolEvent;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::BootId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::PoolId;
use apricotknot_core::types::RequestId;
use apricotknot_wire::message::GrantReply;
use apricotknot_wire::message::GrantRequest;
use apricotknot_wire::message::PoolReport;
use apricotknot_wire::message::ReportKind;

use super::ControlEffect;
use super::ControlState;
use super::DeferredRequest;
use super::ReplyTarget;
use super::RunningGrant;
use super::grants::ended_event;
use super::grants::no_endpoint_refusal;
use super::grants::unsent_event;
use crate::control::AttemptReport;
use crate::control::SubmitCommand;
use crate::peers::PeerError;

/// Time after which a request that no owner granted is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of deferred requests; further ones are refused.
const MAX_DEFERRED: usize = 20_000;

impl ControlState {
    /// Submits a request for a grant to its pool, at this node or at the pool's owner.
    ///
    /// The request is refused if the pool is unknown, and deferred if the pool has no owner that
    /// can grant.
    pub(super) fn submit(&mut self, command: SubmitCommand, now: MonotonicTime) {
        if command.reply.is_closed() {
            return;
        }
        if !self.pools.contains_key(&command.pool) {
            let notice = no_endpoint_refusal(&command.submission);
            let _ = command.reply.send(Err(notice));
            return;
        }
        let SubmitCommand { pool, submission, reply } = command;
        if self.owns(&pool) {
            let copy = Box::new(submission.clone());
            return self.enqueue(&pool, submission, ReplyTarget::Own(reply, copy), now);
        }
        match self.placement.owner_of(&pool).filter(|owner| **owner != self.node).cloned() {
            Some(owner) => {
                self.reply_targets.insert(submission.attempt, ReplyTarget::Forwarded(reply));
                let request = Box::new(GrantRequest { pool, submission });
                self.effects.push(ControlEffect::RequestGrant { owner, request });
            },
            None => self.defer(SubmitCommand { pool, submission, reply }, now),
        }
    }

    /// Handles the reply of a pool's owner to a request of this node.
    pub(in crate::control) fn handle_answer(
        &mut self,
        owner: &NodeId,
        request: GrantRequest,
        result: Result<GrantReply, PeerError>,
        now: MonotonicTime,
    ) {
        match result {
            Ok(GrantReply::Granted { ticket, charges }) => {
                self.accept_grant(owner, request, *ticket, charges, now);
            },
            Ok(GrantReply::Refused(notice)) => self.refuse(*notice),
            Ok(GrantReply::NotOwner(_)) | Err(_) => self.retry_later(request, now),
        }
    }

    /// Withdraws a request of this node, and reports that to the node that granted or queued it.
    pub(super) fn withdraw(
        &mut self,
        pool: &PoolId,
        request: RequestId,
        attempt: AttemptId,
        now: MonotonicTime,
    ) {
        let is_waiting = self.reply_targets.remove(&attempt).is_some();
        self.suspects.remove(attempt);
        if let Some(running) = self.running.remove(&attempt) {
            self.shares.finish(attempt);
            self.report_to(pool, &running.owner, ReportKind::Withdrawn { request, attempt }, now);
            return;
        }
        self.dispatch(pool, PoolEvent::Withdraw { request }, now);
        self.dispatch(pool, unsent_event(attempt), now);
        let owner = self.placement.owner_of(pool).filter(|owner| **owner != self.node).cloned();
        if let Some(owner) = owner.filter(|_| is_waiting) {
            self.effects.push(ControlEffect::AbortRequest { attempt });
            self.report_to(pool, &owner, ReportKind::Withdrawn { request, attempt }, now);
        }
    }

    /// Submits the deferred requests that are due again.
    pub(super) fn retry_deferred(&mut self, now: MonotonicTime) {
        let due: Vec<DeferredRequest> =
            self.deferred.extract_if(.., |request| request.retry_at <= now).collect();
        for request in due {
            self.submit(request.command, now);
        }
    }

    /// Reports to the granting node that an attempt is about to be sent.
    pub(super) fn report_started(&mut self, pool: PoolId, attempt: AttemptId, now: MonotonicTime) {
        self.report_to_granter(&pool, attempt, ReportKind::Started { attempt }, now);
    }

    /// Reports to the granting node that the first token of an attempt arrived.
    pub(super) fn report_first_token(
        &mut self,
        pool: PoolId,
        attempt: AttemptId,
        after: Duration,
        now: MonotonicTime,
    ) {
        self.report_to_granter(&pool, attempt, ReportKind::FirstToken { attempt, after }, now);
    }

    /// Reports to the pool's owner that a connection to an endpoint broke.
    pub(super) fn report_reset(&mut self, pool: PoolId, endpoint: EndpointId, now: MonotonicTime) {
        if let Some(owner) = self.placement.owner_of(&pool).cloned() {
            self.report_to(&pool, &owner, ReportKind::ConnectionReset { endpoint }, now);
        }
    }

    /// Reports to the pool's owner the boot identifier with which an endpoint answered.
    pub(super) fn report_boot(
        &mut self,
        pool: PoolId,
        endpoint: EndpointId,
        boot: BootId,
        now: MonotonicTime,
    ) {
        if let Some(owner) = self.placement.owner_of(&pool).cloned() {
            self.report_to(&pool, &owner, ReportKind::BootSeen { endpoint, boot }, now);
        }
    }

    /// Reports the end of an attempt that this node ran, and releases its charge once the endpoint
    /// certainly holds nothing for it.
    pub(super) fn end_attempt(&mut self, report: AttemptReport, now: MonotonicTime) {
        let Some(running) = self.running.remove(&report.attempt) else {
            let pool = report.pool.clone();
            return self.dispatch(&pool, ended_event(report), now);
        };
        let attempt = report.attempt;
        if running.owner != self.node {
            match report.confirmed_free {
                true => self.shares.finish(attempt),
                false => {
                    let endpoint = running.endpoint;
                    self.effects.push(ControlEffect::CancelPeerGrant { attempt, endpoint });
                },
            }
        }
        let kind = ReportKind::Ended {
            attempt,
            outcome: report.outcome,
            confirmed_free: report.confirmed_free,
            usage: report.usage,
        };
        self.report_to(&report.pool, &running.owner, kind, now);
    }

    /// Records that a call with reports to `owner` has ended; `unconfirmed` are sent again.
    pub(in crate::control) fn finish_reports(
        &mut self,
        owner: &NodeId,
        unconfirmed: Vec<PoolReport>,
    ) {
        self.outbox.finish(owner, unconfirmed);
    }

    fn accept_grant(
        &mut self,
        owner: &NodeId,
        request: GrantRequest,
        ticket: GrantTicket,
        parts: Vec<ChargePart>,
        now: MonotonicTime,
    ) {
        let attempt = ticket.attempt;
        let endpoint = ticket.endpoint.clone();
        let charge = GrantCharge { attempt, endpoint: endpoint.clone(), parts };
        if self.shares.accept(charge).is_err() {
            self.report_to(&request.pool, owner, unsent_report(attempt), now);
            self.retry_later(request, now);
            return;
        }
        let is_delivered = match self.reply_targets.remove(&attempt) {
            Some(ReplyTarget::Forwarded(reply)) => reply.send(Ok(ticket)).is_ok(),
            _ => false,
        };
        if is_delivered {
            self.running.insert(attempt, RunningGrant { owner: owner.clone(), endpoint });
            return;
        }
        self.shares.finish(attempt);
        self.report_to(&request.pool, owner, unsent_report(attempt), now);
    }

    /// Submits a request that was queued here to the pool's present owner.
    pub(super) fn resubmit(
        &mut self,
        pool: &PoolId,
        submission: RequestSubmission,
        now: MonotonicTime,
    ) {
        self.suspects.remove(submission.attempt);
        match self.reply_targets.remove(&submission.attempt) {
            Some(ReplyTarget::Forwarded(reply) | ReplyTarget::Own(reply, _)) => {
                self.submit(SubmitCommand { pool: pool.clone(), submission, reply }, now);
            },
            Some(ReplyTarget::Peer(reply)) => {
                let _ = reply.send(GrantReply::NotOwner(self.owner_hint(pool)));
            },
            None => {},
        }
    }

    fn retry_later(&mut self, request: GrantRequest, now: MonotonicTime) {
        let attempt = request.submission.attempt;
        if let Some(ReplyTarget::Forwarded(reply)) = self.reply_targets.remove(&attempt) {
            let GrantRequest { pool, submission } = request;
            self.defer(SubmitCommand { pool, submission, reply }, now);
        }
    }

    /// Defers a request for [`RETRY_DELAY`], or refuses it if its deadline is earlier or too many
    /// requests are deferred.
    pub(super) fn defer(&mut self, command: SubmitCommand, now: MonotonicTime) {
        let deadline = command.submission.profile.deadline;
        if now + RETRY_DELAY >= deadline || self.deferred.len() >= MAX_DEFERRED {
            let notice = no_endpoint_refusal(&command.submission);
            let _ = command.reply.send(Err(notice));
            return;
        }
        self.deferred.push(DeferredRequest { command, retry_at: now + RETRY_DELAY });
    }

    /// Sends a report to the node that granted an attempt, if this node still runs the attempt.
    pub(super) fn report_to_granter(
        &mut self,
        pool: &PoolId,
        attempt: AttemptId,
        kind: ReportKind,
        now: MonotonicTime,
    ) {
        if let Some(running) = self.running.get(&attempt) {
            let owner = running.owner.clone();
            self.report_to(pool, &owner, kind, now);
        }
    }

    /// Sends a report to the node `owner`, which may be this one.
    fn report_to(&mut self, pool: &PoolId, owner: &NodeId, kind: ReportKind, now: MonotonicTime) {
        let report = PoolReport { pool: pool.clone(), kind };
        if *owner == self.node {
            self.apply_reports(vec![report], now);
        } else {
            self.outbox.push(owner, report);
        }
    }
}

fn unsent_report(attempt: AttemptId) -> ReportKind {
    let report = AttemptReport::unsent("".into(), attempt);
    ReportKind::Ended {
        attempt,
        outcome: report.outcome,
        confirmed_free: report.confirmed_free,
        usage: report.usage,
    }
}

//! Quarantine of requests that crash endpoints.

use apricotknot_core::admission::PoolEvent;
use apricotknot_core::admission::RefusalNotice;
use apricotknot_core::admission::RefusalReason;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::quarantine::AttemptDecision;
use apricotknot_core::quarantine::QuarantineRecord;
use apricotknot_core::resources::ResourceSnapshot;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::PoolId;
use apricotknot_core::types::PromptFingerprint;
use apricotknot_core::types::TokenCount;
use apricotknot_wire::message::GrantReply;
use apricotknot_wire::message::ReportKind;

use super::ControlState;
use super::ReplyTarget;
use super::grants::no_endpoint_refusal;
use crate::control::SubmitCommand;
use crate::control::pool_of;

/// Fingerprint of calls of plain services, which are not tracked.
const UNTRACKED_FINGERPRINT: PromptFingerprint = 0;

impl ControlState {
    /// Queues a request at a pool of this node, unless its fingerprint is quarantined or must wait.
    pub(super) fn enqueue(
        &mut self,
        pool: &PoolId,
        mut submission: RequestSubmission,
        reply: ReplyTarget,
        now: MonotonicTime,
    ) {
        let fingerprint = submission.profile.fingerprint;
        let decision = match fingerprint {
            UNTRACKED_FINGERPRINT => AttemptDecision::Unrestricted,
            _ => self.suspects.admit(fingerprint, submission.attempt, now),
        };
        match decision {
            AttemptDecision::Refuse => return self.refuse_quarantined(&submission, reply),
            AttemptDecision::Wait => return self.defer_held(pool, submission, reply, now),
            AttemptDecision::Exclusive => self.claim_whole_endpoint(pool, &mut submission),
            AttemptDecision::Unrestricted => {},
        }
        self.reply_targets.insert(submission.attempt, reply);
        self.dispatch(pool, PoolEvent::Submit(submission), now);
    }

    /// Records crashes and ends of attempts from a report.
    pub(super) fn record_suspects(&mut self, kind: &ReportKind, now: MonotonicTime) {
        match kind {
            ReportKind::Crashed { attempt, endpoint, boot } => {
                self.suspects.record_crash(*attempt, endpoint, boot, now);
            },
            ReportKind::Ended { attempt, outcome, .. } => {
                self.suspects.record_end(*attempt, *outcome, now);
            },
            _ => {},
        }
    }

    /// Merges records of requests that crash endpoints from the key-value service.
    pub(in crate::control) fn merge_suspects(
        &mut self,
        records: Vec<QuarantineRecord>,
        now: MonotonicTime,
    ) {
        self.suspects.merge(records, now);
    }

    fn refuse_quarantined(&mut self, submission: &RequestSubmission, reply: ReplyTarget) {
        let notice =
            RefusalNotice { reason: RefusalReason::Quarantined, ..no_endpoint_refusal(submission) };
        self.reply_targets.insert(submission.attempt, reply);
        self.refuse(notice);
    }

    fn defer_held(
        &mut self,
        pool: &PoolId,
        submission: RequestSubmission,
        reply: ReplyTarget,
        now: MonotonicTime,
    ) {
        match reply {
            ReplyTarget::Forwarded(reply) | ReplyTarget::Own(reply, _) => {
                self.defer(SubmitCommand { pool: pool.clone(), submission, reply }, now);
            },
            ReplyTarget::Peer(reply) => {
                let _ = reply.send(GrantReply::NotOwner(self.owner_hint(pool)));
            },
        }
    }

    /// Raises the memory demand of a request so far that no other request fits beside it.
    fn claim_whole_endpoint(&self, pool: &PoolId, submission: &mut RequestSubmission) {
        let whole = largest_memory(&self.table.snapshot(), pool);
        let prompt = submission.profile.prompt_tokens;
        let output = submission.profile.max_output_tokens;
        submission.profile.max_output_tokens = whole.saturating_sub(prompt).max(output);
    }
}

fn largest_memory(snapshot: &ResourceSnapshot, pool: &PoolId) -> TokenCount {
    let endpoints = snapshot.endpoints();
    let own = endpoints.filter(|(_, spec)| pool_of(spec) == *pool);
    own.map(|(_, spec)| spec.memory_tokens).max().unwrap_or_default()
}

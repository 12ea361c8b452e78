//! State machine of one request, from its first grant request to its outcome.

use std::time::Duration;

use super::AttemptState;
use super::CallerErrorKind;
use super::DropCounts;
use super::DropReason;
use super::LossCause;
use super::RequestAction;
use super::RequestEvent;
use super::RetryBudget;
use super::TrackerPolicy;
use crate::types::AttemptId;
use crate::types::AttemptOutcome;
use crate::types::BootId;
use crate::types::EndpointId;
use crate::types::ExecutionCertainty;
use crate::types::MonotonicTime;

/// Maximum number of times that one attempt is resumed.
const MAX_RESUMES: u32 = 3;

/// Holds the attempt in progress.
#[derive(Clone, Debug)]
pub(super) struct CurrentAttempt {
    pub(super) id: AttemptId,
    pub(super) endpoint: EndpointId,
    pub(super) state: AttemptState,
    /// Boot id of the endpoint process, once an answer head reported it.
    pub(super) boot: Option<BootId>,
    /// Whether the head of the answer on the current connection was checked.
    pub(super) head_checked: bool,
    /// Number of times that the answer was resumed on a new connection.
    pub(super) resumes: u32,
    /// Whether the first byte of the attempt may have been written.
    pub(super) sent: bool,
}

/// Tracks one request: at most one attempt at a time, and exactly one outcome at the end.
///
/// The tracker has no clock and performs no input or output: the driver feeds events with
/// [`Self::handle`] and performs the returned actions in order.
#[derive(Clone, Debug)]
pub struct RequestTracker {
    pub(super) policy: TrackerPolicy,
    pub(super) current: Option<CurrentAttempt>,
    /// Strongest certainty of execution over the attempts that ended.
    pub(super) executed: ExecutionCertainty,
    /// Endpoints that must not be chosen for further attempts.
    pub(super) excluded: Vec<EndpointId>,
    /// Whether further attempts must run alone on their endpoint, as after a crash.
    pub(super) exclusive: bool,
    /// Number of grants used so far.
    pub(super) grants: u32,
    /// Number of attempts sent so far.
    pub(super) attempts: u32,
    /// Number of attempts that were in flight when their endpoint crashed.
    pub(super) crashes: u32,
    /// Index of the next chunk to forward.
    pub(super) next_chunk: u64,
    /// Time after which the caller should retry, from the last refusal.
    pub(super) retry_after: Option<Duration>,
    pub(super) drops: DropCounts,
    pub(super) finished: bool,
}

impl RequestTracker {
    /// Creates a tracker, records the request in the retry budget and requests the first grant.
    pub fn start(policy: TrackerPolicy, budget: &mut RetryBudget) -> (Self, Vec<RequestAction>) {
        budget.record_request();
        let tracker = Self {
            policy,
            current: None,
            executed: ExecutionCertainty::No,
            excluded: Vec::new(),
            exclusive: false,
            grants: 0,
            attempts: 0,
            crashes: 0,
            next_chunk: 0,
            retry_after: None,
            drops: DropCounts::default(),
            finished: false,
        };
        let action = tracker.request_grant(Duration::ZERO);
        (tracker, vec![action])
    }

    /// Handles one event that happened at `now`, and returns the actions to perform.
    ///
    /// `jitter_permille` is a random number from 0 to 1,000 that spreads retries. The actions of
    /// [`RequestEvent::SendStarting`] must be checked before the first byte is written: if they
    /// finish the request, nothing may be written.
    pub fn handle(
        &mut self,
        event: RequestEvent,
        now: MonotonicTime,
        jitter_permille: u32,
        budget: &mut RetryBudget,
    ) -> Vec<RequestAction> {
        if let RequestEvent::Granted { attempt, endpoint } = event {
            return self.handle_grant(attempt, endpoint, now);
        }
        if self.finished || self.is_stale(&event) {
            return self.drop_stale(&event);
        }
        let context = RetryContext { now, jitter_permille, budget };
        match event {
            RequestEvent::Granted { .. } => Vec::new(),
            RequestEvent::GrantRefused { kind, retry_after } => {
                self.retry_after = retry_after;
                self.finish(Some(kind))
            },
            RequestEvent::DeadlinePassed => self.finish(Some(CallerErrorKind::DeadlineExceeded)),
            RequestEvent::CallerDisconnected => {
                self.finish(Some(CallerErrorKind::CallerDisconnected))
            },
            RequestEvent::ShutdownForced => self.finish(Some(CallerErrorKind::NodeStopping)),
            RequestEvent::GrantExpired { .. } => self.end_unsent(AttemptOutcome::NotSent, context),
            RequestEvent::ConnectFailed { .. } => self.handle_connect_failure(context),
            RequestEvent::RefusedByEndpoint { retry_after, .. } => {
                self.handle_refusal(retry_after, context)
            },
            RequestEvent::SendStarting { .. } => self.handle_send_start(now),
            RequestEvent::HeadReceived { attempt, echoed, boot } => {
                self.handle_head(attempt, echoed, boot, context)
            },
            RequestEvent::ChunkReceived { attempt, index } => {
                self.handle_chunk(attempt, index, context)
            },
            RequestEvent::AnswerCompleted { .. } => self.handle_completion(context),
            RequestEvent::ConnectionLost { cause, .. } => {
                self.handle_connection_loss(cause, context)
            },
            RequestEvent::ResumeRefused { .. } => self.abandon_attempt(context),
            RequestEvent::EndpointFailed { .. } => self.end_failed(context),
        }
    }

    /// Starts an attempt on a granted endpoint, or returns a grant that is no longer needed.
    fn handle_grant(
        &mut self,
        attempt: AttemptId,
        endpoint: EndpointId,
        now: MonotonicTime,
    ) -> Vec<RequestAction> {
        if self.finished || self.current.is_some() {
            let outcome = AttemptOutcome::NotSent;
            return vec![RequestAction::EndAttempt { attempt, endpoint, outcome }];
        }
        self.grants += 1;
        self.current = Some(CurrentAttempt {
            id: attempt,
            endpoint: endpoint.clone(),
            state: AttemptState::NotSent,
            boot: None,
            head_checked: false,
            resumes: 0,
            sent: false,
        });
        if now >= self.policy.deadline {
            return self.finish(Some(CallerErrorKind::DeadlineExceeded));
        }
        vec![RequestAction::Send { attempt, endpoint }]
    }

    /// Marks the attempt as sent, unless the deadline has passed.
    fn handle_send_start(&mut self, now: MonotonicTime) -> Vec<RequestAction> {
        if now >= self.policy.deadline {
            return self.finish(Some(CallerErrorKind::DeadlineExceeded));
        }
        let Some(current) = self.current.as_mut() else {
            return Vec::new();
        };
        if !current.sent {
            self.attempts += 1;
        }
        current.sent = true;
        current.state = current.state.max(AttemptState::MayHaveRun);
        Vec::new()
    }

    /// Checks that the head belongs to the current attempt and to the same process as before.
    fn handle_head(
        &mut self,
        attempt: AttemptId,
        echoed: Option<AttemptId>,
        boot: Option<BootId>,
        context: RetryContext<'_>,
    ) -> Vec<RequestAction> {
        let Some(current) = self.current.as_mut() else {
            return Vec::new();
        };
        current.state = current.state.max(AttemptState::MayHaveRun);
        if echoed.is_some_and(|echoed| echoed != attempt) {
            let mut actions = vec![self.drop_arrival(DropReason::WrongAttempt)];
            actions.extend(self.handle_connection_loss(LossCause::Connection, context));
            return actions;
        }
        let was_restarted = current.resumes > 0
            && matches!((&current.boot, &boot), (Some(old), Some(new)) if old != new);
        if was_restarted {
            return self.abandon_attempt(context);
        }
        current.boot = current.boot.take().or(boot);
        current.head_checked = true;
        Vec::new()
    }

    /// Forwards the next chunk; drops a duplicate, and treats a gap as a lost connection.
    fn handle_chunk(
        &mut self,
        attempt: AttemptId,
        index: u64,
        context: RetryContext<'_>,
    ) -> Vec<RequestAction> {
        if context.now >= self.policy.deadline {
            return self.finish(Some(CallerErrorKind::DeadlineExceeded));
        }
        if index < self.next_chunk {
            return vec![self.drop_arrival(DropReason::Duplicate)];
        }
        if index > self.next_chunk {
            return self.handle_connection_loss(LossCause::Connection, context);
        }
        self.next_chunk += 1;
        vec![RequestAction::ForwardChunk { attempt, index }]
    }

    /// Handles a failed connect; the attempt may have been sent on an earlier connection.
    fn handle_connect_failure(&mut self, context: RetryContext<'_>) -> Vec<RequestAction> {
        let was_connected = self
            .current
            .as_ref()
            .is_some_and(|current| current.head_checked || current.resumes > 0);
        if was_connected {
            return self.handle_connection_loss(LossCause::Connection, context);
        }
        self.end_unsent(AttemptOutcome::NotSent, context)
    }

    /// Accepts a refusal only with the first checked head; the endpoint may have run it otherwise.
    fn handle_refusal(
        &mut self,
        retry_after: Option<Duration>,
        context: RetryContext<'_>,
    ) -> Vec<RequestAction> {
        let is_first_head = self.next_chunk == 0
            && self
                .current
                .as_ref()
                .is_some_and(|current| current.head_checked && current.resumes == 0);
        if !is_first_head {
            return self.handle_connection_loss(LossCause::Connection, context);
        }
        self.retry_after = retry_after;
        self.end_unsent(AttemptOutcome::Refused, context)
    }

    /// Finishes the request, if the head on the current connection was checked.
    fn handle_completion(&mut self, context: RetryContext<'_>) -> Vec<RequestAction> {
        let Some(current) = self.current.as_mut() else {
            return Vec::new();
        };
        if !current.head_checked {
            return self.handle_connection_loss(LossCause::Connection, context);
        }
        current.state = AttemptState::Answered;
        self.finish(None)
    }

    /// Resumes the answer on a new connection, or abandons the attempt.
    pub(super) fn handle_connection_loss(
        &mut self,
        cause: LossCause,
        context: RetryContext<'_>,
    ) -> Vec<RequestAction> {
        if cause == LossCause::EndpointCrash {
            return self.end_crashed(context);
        }
        let resumable = self.policy.resumable && context.now < self.policy.deadline;
        let index = self.next_chunk;
        let Some(current) = self.current.as_mut() else {
            return Vec::new();
        };
        current.head_checked = false;
        if !resumable || current.resumes == MAX_RESUMES {
            return self.abandon_attempt(context);
        }
        current.resumes += 1;
        let (attempt, endpoint) = (current.id, current.endpoint.clone());
        vec![RequestAction::ResumeFrom { attempt, endpoint, index }]
    }

    /// Counts the event if it carries a part of an answer, and ignores it otherwise.
    fn drop_stale(&mut self, event: &RequestEvent) -> Vec<RequestAction> {
        match event {
            RequestEvent::HeadReceived { .. }
            | RequestEvent::ChunkReceived { .. }
            | RequestEvent::AnswerCompleted { .. } => vec![self.drop_arrival(DropReason::Stale)],
            _ => Vec::new(),
        }
    }

    /// Counts a dropped part of an answer, and returns the action that drops it.
    fn drop_arrival(&mut self, reason: DropReason) -> RequestAction {
        match reason {
            DropReason::WrongAttempt => self.drops.wrong_attempt += 1,
            DropReason::Duplicate => self.drops.duplicate += 1,
            DropReason::Stale => self.drops.stale += 1,
        }
        RequestAction::DropArrival { reason }
    }
}

impl RequestTracker {
    /// Returns whether the tracker has emitted the outcome.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the counts of dropped heads and chunks.
    pub fn drops(&self) -> DropCounts {
        self.drops
    }

    /// Returns the number of chunks that were forwarded.
    pub fn forwarded(&self) -> u64 {
        self.next_chunk
    }

    /// Returns the attempt in progress and its state.
    pub fn current(&self) -> Option<(AttemptId, AttemptState)> {
        self.current.as_ref().map(|current| (current.id, current.state))
    }

    /// Returns whether the event belongs to an attempt or a connection that has ended.
    fn is_stale(&self, event: &RequestEvent) -> bool {
        let Some(attempt) = event.attempt() else {
            return false;
        };
        let Some(current) = self.current.as_ref().filter(|current| current.id == attempt) else {
            return true;
        };
        match event {
            RequestEvent::ChunkReceived { .. } => !current.head_checked,
            RequestEvent::GrantExpired { .. } => current.sent,
            _ => false,
        }
    }
}

/// Holds the inputs of a decision to retry that are not part of the request.
pub(super) struct RetryContext<'a> {
    pub(super) now: MonotonicTime,
    pub(super) jitter_permille: u32,
    pub(super) budget: &'a mut RetryBudget,
}

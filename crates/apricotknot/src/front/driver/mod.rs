//! Drives one prompt request: performs the actions of its tracker and feeds the events back.

mod completion;
mod granting;
mod reading;
mod reports;
mod sending;

use std::collections::VecDeque;
use std::rc::Rc;

use apricotknot_core::admission::GrantTicket;
use apricotknot_core::outcome::RequestAction;
use apricotknot_core::outcome::RequestEvent;
use apricotknot_core::outcome::RequestTracker;
use apricotknot_core::outcome::TrackerPolicy;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::RequestProfile;
use bytes::Bytes;

use super::GrantWait;
use super::NodePhase;
use super::TrafficContext;
use super::answer::AnswerSender;
use super::stream::AnswerReader;
use super::timing::AnswerTiming;
use crate::control::ControlCommand;
use crate::engine::CallPath;
use crate::engine::EngineClient;

/// Jitter at which a retry waits for the whole delay, in per mille.
const FULL_JITTER_PERMILLE: u32 = 1_000;

/// Holds the call that each attempt of the request sends.
#[derive(Clone, Debug)]
pub(super) struct PromptCall {
    /// Path of the call at the engine.
    pub(super) path: CallPath,
    /// Body as the caller sent it; empty once part of an answer has been forwarded.
    pub(super) body: Bytes,
    /// Whether the caller requested a stream of events.
    pub(super) is_stream: bool,
}

/// Holds the state of the attempt that is in progress.
struct OpenAttempt<B> {
    ticket: GrantTicket,
    /// Moment from which the attempt may no longer be sent.
    send_before: MonotonicTime,
    sent_at: Option<MonotonicTime>,
    /// Reader of the answer, once its head has been received.
    reader: Option<AnswerReader<B>>,
    has_first_token: bool,
}

/// Drives one request until it has its single outcome.
pub(super) struct RequestDriver<E: EngineClient> {
    context: Rc<TrafficContext<E>>,
    profile: RequestProfile,
    call: PromptCall,
    tracker: RequestTracker,
    /// Actions of the tracker that have not been performed.
    actions: VecDeque<RequestAction>,
    open: Option<OpenAttempt<E::Body>>,
    /// Chunk that the next forward action sends to the caller.
    pending_chunk: Option<Bytes>,
    output: AnswerSender,
    arrived_at: MonotonicTime,
    timing: AnswerTiming,
    /// Wait for the first grant, in which the caller's connection may have to give way to others.
    grant_wait: GrantWait,
}

impl<E: EngineClient> RequestDriver<E> {
    /// Creates the driver of one request, which sends the answer to `output`.
    pub(super) fn new(
        context: Rc<TrafficContext<E>>,
        profile: RequestProfile,
        call: PromptCall,
        output: AnswerSender,
        grant_wait: GrantWait,
    ) -> Self {
        let policy = TrackerPolicy {
            repeatable: true,
            resumable: call.is_stream,
            deadline: profile.deadline,
        };
        let (tracker, actions) = {
            let mut budgets = context.retry_budgets.borrow_mut();
            let budget = budgets.entry(profile.service.clone()).or_default();
            RequestTracker::start(policy, budget)
        };
        let arrived_at = context.shared.clock.now();
        Self {
            context,
            profile,
            call,
            tracker,
            actions: actions.into(),
            open: None,
            pending_chunk: None,
            output,
            arrived_at,
            timing: AnswerTiming::new(arrived_at),
            grant_wait,
        }
    }

    /// Runs the request until its answer has ended.
    pub(super) async fn run(mut self) {
        let metrics = self.context.shared.metrics.clone();
        metrics.open_requests.inc();
        let outcome = loop {
            match self.actions.pop_front() {
                Some(RequestAction::Finish(outcome)) => break outcome,
                Some(action) => self.perform(action).await,
                None => self.read_answer().await,
            }
        };
        self.finish(outcome).await;
        metrics.open_requests.dec();
    }

    /// Performs one action of the tracker.
    async fn perform(&mut self, action: RequestAction) {
        match action {
            RequestAction::RequestGrant { delay, excluding, .. } => {
                self.request_grant(delay, excluding).await;
            },
            RequestAction::Send { attempt, .. } => self.send_attempt(attempt).await,
            RequestAction::ForwardChunk { .. } => self.forward_chunk().await,
            RequestAction::DropArrival { .. } => self.pending_chunk = None,
            RequestAction::ResumeFrom { attempt, index, .. } => {
                self.resume_attempt(attempt, index).await
            },
            RequestAction::CancelAttempt { attempt, .. } => {
                self.close_attempt(attempt, AttemptOutcome::Cancelled);
            },
            RequestAction::EndAttempt { attempt, outcome, .. } => {
                self.close_attempt(attempt, outcome);
            },
            RequestAction::ReportCrash { attempt, endpoint, boot } => {
                self.report_crash(attempt, endpoint, boot);
            },
            RequestAction::Finish(_) => {},
        }
    }

    /// Feeds an event to the tracker and queues the actions that follow from it.
    fn feed(&mut self, event: RequestEvent) {
        let now = self.now();
        let jitter = rand::random_range(0..=FULL_JITTER_PERMILLE);
        let mut budgets = self.context.retry_budgets.borrow_mut();
        let budget = budgets.entry(self.profile.service.clone()).or_default();
        let actions = self.tracker.handle(event, now, jitter, budget);
        drop(budgets);
        self.actions.extend(actions);
    }

    /// Waits for `work`, but at most until the request is interrupted.
    ///
    /// # Errors
    ///
    /// Returns the event of the interruption: the deadline passed, the caller disconnected, or the
    /// shutdown was forced.
    async fn unless_interrupted<F: Future>(&self, work: F) -> Result<F::Output, RequestEvent> {
        let remaining = self.profile.deadline.saturating_sub(self.now());
        let mut phase = self.context.shared.phase.clone();
        tokio::select! {
            biased;
            output = work => Ok(output),
            () = tokio::time::sleep(remaining) => Err(RequestEvent::DeadlinePassed),
            () = self.output.closed() => Err(RequestEvent::CallerDisconnected),
            _ = phase.wait_for(|phase| *phase == NodePhase::Stopping) => {
                Err(RequestEvent::ShutdownForced)
            },
        }
    }

    fn now(&self) -> MonotonicTime {
        self.context.shared.clock.now()
    }

    fn send_command(&self, command: ControlCommand) {
        self.context.shared.control.send(command);
    }

    fn endpoint(&self) -> Option<EndpointId> {
        self.open.as_ref().map(|open| open.ticket.endpoint.clone())
    }

    fn address(&self) -> Option<std::net::SocketAddr> {
        let endpoint = self.endpoint()?;
        self.context.shared.control.view().endpoint(&endpoint).map(|location| location.address)
    }

    fn format_request_id(&self) -> String {
        format!("{:032x}", self.profile.id)
    }
}

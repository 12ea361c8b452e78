//! Drives one prompt request: carries out what its tracker asks for and reports what happened.

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

use super::NodePhase;
use super::TrafficContext;
use super::answer::AnswerSender;
use super::stream::AnswerReader;
use super::timing::AnswerTiming;
use crate::control::ControlCommand;
use crate::engine::CallPath;
use crate::engine::EngineClient;

/// Jitter that stands for the whole delay, in per mille.
const FULL_JITTER_PERMILLE: u32 = 1_000;

/// Holds the call that the request's attempts repeat.
#[derive(Clone, Debug)]
pub(super) struct PromptCall {
    /// Path of the call.
    pub(super) path: CallPath,
    /// Body as the caller sent it.
    pub(super) body: Bytes,
    /// Whether the answer is a stream.
    pub(super) is_stream: bool,
}

/// Holds the present attempt as this thread sees it.
struct OpenAttempt<B> {
    ticket: GrantTicket,
    /// Moment from which the attempt must not be sent.
    send_before: MonotonicTime,
    sent_at: Option<MonotonicTime>,
    reader: Option<AnswerReader<B>>,
    has_first_token: bool,
}

/// Drives one request to its one outcome.
pub(super) struct RequestDriver<E: EngineClient> {
    context: Rc<TrafficContext<E>>,
    profile: RequestProfile,
    call: PromptCall,
    tracker: RequestTracker,
    actions: VecDeque<RequestAction>,
    open: Option<OpenAttempt<E::Body>>,
    /// Bytes that the next forward action is about.
    pending_chunk: Option<Bytes>,
    output: AnswerSender,
    arrived_at: MonotonicTime,
    timing: AnswerTiming,
}

impl<E: EngineClient> RequestDriver<E> {
    /// Creates the driver of one request.
    pub(super) fn new(
        context: Rc<TrafficContext<E>>,
        profile: RequestProfile,
        call: PromptCall,
        output: AnswerSender,
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
        }
    }

    /// Runs the request to its end.
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

    fn feed(&mut self, event: RequestEvent) {
        let now = self.now();
        let jitter = rand::random_range(0..=FULL_JITTER_PERMILLE);
        let mut budgets = self.context.retry_budgets.borrow_mut();
        let budget = budgets.entry(self.profile.service.clone()).or_default();
        let actions = self.tracker.handle(event, now, jitter, budget);
        drop(budgets);
        self.actions.extend(actions);
    }

    // Helpers

    /// Waits for `work` unless the deadline, the caller or the node's stop comes first.
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

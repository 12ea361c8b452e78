//! Drives one call of a plain service until it has its single outcome.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::ledger::CallAnswer;
use apricotknot_core::ledger::SendPermit;
use apricotknot_core::outcome::CallerError;
use apricotknot_core::outcome::CallerErrorKind;
use apricotknot_core::outcome::FinalOutcome;
use apricotknot_core::outcome::LossCause;
use apricotknot_core::outcome::RequestAction;
use apricotknot_core::outcome::RequestEvent;
use apricotknot_core::outcome::RequestTracker;
use apricotknot_core::outcome::TrackerPolicy;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::ExecutionCertainty;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::PoolId;
use apricotknot_core::types::RequestProfile;
use slog::info;
use tokio::sync::oneshot;

use super::LedgerCall;
use super::LedgerDecision;
use super::LedgerHandle;
use super::PlainAnswer;
use super::PlainCall;
use super::PlainClient;
use super::PlainError;
use super::PlainErrorKind;
use super::PlainRequest;
use super::exchange::PlainExchange;
use super::exchange::recorded_answer;
use super::grant::OpenGrant;
use super::grant::refusal_event;
use super::ledger_task::ledger_time;
use crate::control::ControlCommand;
use crate::front::GrantWait;
use crate::front::NodePhase;
use crate::front::SharedContext;
use crate::front::TrafficContext;
use crate::telemetry::RequestLabels;

/// Jitter at which a retry waits for the whole delay, in per mille.
const FULL_JITTER_PERMILLE: u32 = 1_000;

/// Longest time that a call waits until its intent is durable in the ledger.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the deadline during which the answer to a call in the ledger is still recorded.
const LATE_ANSWER_TIME: Duration = Duration::from_secs(30);

/// Size of a plain call among the requests that wait for an endpoint: it holds no tokens of memory.
const PLAIN_CALL_SIZE: u64 = 0;

/// Value of the outcome label of a call that was answered.
const ANSWERED_CODE: &str = "answered";

/// Value of the outcome label of a call whose answer was replayed from the ledger.
const REPLAYED_CODE: &str = "replayed";

/// Outcome of a call.
#[derive(Clone, Debug)]
pub enum PlainOutcome {
    /// The service answered.
    Answer(PlainAnswer),
    /// The call ran earlier, and this is its recorded answer.
    Replay(CallAnswer),
    /// The call was refused or failed.
    Failed(CallerError),
}

/// Drives one call until its outcome is sent to the caller's connection.
pub struct PlainDriver<E, P> {
    shared: SharedContext,
    context: Rc<TrafficContext<E>>,
    client: P,
    call: PlainCall,
    reply: oneshot::Sender<PlainOutcome>,
    /// Wait for the first grant, in which the caller's connection may have to give way to others.
    grant_wait: GrantWait,
    tracker: RequestTracker,
    /// Actions of the tracker that have not been performed.
    actions: VecDeque<RequestAction>,
    /// Entry in the ledger of a non-repeatable call with an idempotency key.
    ledger_call: Option<LedgerCall>,
    permit: Option<SendPermit>,
    grant: Option<OpenGrant>,
    /// Interrupted exchange whose answer is recorded if it still arrives.
    exchange: Option<PlainExchange>,
    answer: Option<PlainAnswer>,
}

impl<E, P: PlainClient> PlainDriver<E, P> {
    /// Creates the driver of one call, which sends its outcome to `reply`.
    pub(crate) fn new(
        context: Rc<TrafficContext<E>>,
        client: P,
        call: PlainCall,
        reply: oneshot::Sender<PlainOutcome>,
        grant_wait: GrantWait,
    ) -> Self {
        let policy = TrackerPolicy {
            repeatable: call.repeatable,
            resumable: false,
            deadline: call.deadline,
        };
        let (tracker, actions) = {
            let mut budgets = context.retry_budgets.borrow_mut();
            let budget = budgets.entry(call.service.clone()).or_default();
            RequestTracker::start(policy, budget)
        };
        Self {
            shared: context.shared.clone(),
            context,
            client,
            call,
            reply,
            grant_wait,
            tracker,
            actions: actions.into(),
            ledger_call: None,
            permit: None,
            grant: None,
            exchange: None,
            answer: None,
        }
    }

    /// Runs the call until its outcome is sent.
    pub async fn run(mut self, ledger: LedgerHandle) {
        let metrics = self.shared.metrics.clone();
        metrics.open_requests.inc();
        let outcome = match self.request_permit(&ledger).await {
            Some(decided) => decided,
            None => self.run_attempts().await,
        };
        self.record(&outcome);
        let _ = self.reply.send(outcome);
        metrics.open_requests.dec();
    }

    /// Records the intent of a call with an idempotency key in the ledger and waits for the permit.
    ///
    /// Returns the outcome of the call if the ledger decides it; none if the call is to be driven.
    async fn request_permit(&mut self, ledger: &LedgerHandle) -> Option<PlainOutcome> {
        let key = self.call.idempotency_key?;
        let deadline = self.call.deadline.min(self.now() + LEDGER_TIMEOUT);
        let mut ledger_call = ledger.begin(key, self.call.content_digest(), deadline);
        match self.unless_interrupted(ledger_call.decision()).await {
            Err(event) => {
                self.feed(event);
                None
            },
            Ok(Some(LedgerDecision::Permit(permit))) => {
                self.permit = Some(permit);
                self.ledger_call = Some(ledger_call);
                None
            },
            Ok(Some(LedgerDecision::Refuse(error))) => Some(PlainOutcome::Failed(error)),
            Ok(Some(LedgerDecision::Replay(answer))) if answer.body.is_none() => {
                let kind = CallerErrorKind::IdempotencyAnswerNotKept;
                let error = CallerError::new(kind, ExecutionCertainty::Yes);
                Some(PlainOutcome::Failed(error.given(format!("status {}", answer.status))))
            },
            Ok(Some(LedgerDecision::Replay(answer))) => Some(PlainOutcome::Replay(answer)),
            Ok(None) => {
                let kind = CallerErrorKind::NodeStopping;
                Some(PlainOutcome::Failed(CallerError::not_run(kind)))
            },
        }
    }

    /// Performs the actions of the tracker until the call has its outcome.
    async fn run_attempts(&mut self) -> PlainOutcome {
        loop {
            match self.actions.pop_front() {
                Some(RequestAction::Finish(outcome)) => return self.resolve_outcome(outcome),
                Some(action) => self.perform(action).await,
                None => self.feed(RequestEvent::DeadlinePassed),
            }
        }
    }

    /// Performs one action of the tracker.
    async fn perform(&mut self, action: RequestAction) {
        match action {
            RequestAction::RequestGrant { delay, excluding, .. } if !self.tracker.is_finished() => {
                self.request_grant(delay, excluding).await;
            },
            RequestAction::Send { attempt, .. } => self.send_attempt(attempt).await,
            RequestAction::CancelAttempt { attempt, .. } => {
                self.close_attempt(attempt, AttemptOutcome::Lost);
            },
            RequestAction::EndAttempt { attempt, outcome, .. } => {
                self.close_attempt(attempt, outcome)
            },
            RequestAction::ResumeFrom { attempt, .. } => {
                self.feed(RequestEvent::ResumeRefused { attempt });
            },
            RequestAction::RequestGrant { .. }
            | RequestAction::ForwardChunk { .. }
            | RequestAction::DropArrival { .. }
            | RequestAction::ReportCrash { .. }
            | RequestAction::Finish(_) => {},
        }
    }

    /// Requests a grant after `delay`, and feeds the decision to the tracker.
    async fn request_grant(&mut self, delay: Duration, excluded: Vec<EndpointId>) {
        if !delay.is_zero()
            && let Err(event) = self.unless_interrupted(tokio::time::sleep(delay)).await
        {
            return self.feed(event);
        }
        let Some(pool) = self.choose_pool() else {
            let kind = CallerErrorKind::NoEndpoint;
            return self.feed(RequestEvent::GrantRefused { kind, retry_after: None });
        };
        let requested_at = self.now();
        let submission = RequestSubmission {
            profile: self.profile(),
            attempt: rand::random(),
            node: self.shared.identity.name.clone(),
            excluded,
        };
        let mut pending_grant = self.shared.control.submit(pool, submission);
        let mut grant_wait = std::mem::take(&mut self.grant_wait);
        let answer = grant_wait.wait(PLAIN_CALL_SIZE, pending_grant.answer());
        match self.unless_interrupted(answer).await {
            Err(event) => self.feed(event),
            Ok(Err(gave_way)) => self.feed(gave_way.into()),
            Ok(Ok(Some(Ok(ticket)))) => {
                // The owner of the pool decided no earlier than `requested_at + queued_for`, so the
                // grant is not used after it has expired at the owner.
                let send_before = requested_at + ticket.queued_for + ticket.start_within;
                let (attempt, endpoint) = (ticket.attempt, ticket.endpoint.clone());
                self.grant = Some(OpenGrant { ticket, send_before });
                self.feed(RequestEvent::Granted { attempt, endpoint });
            },
            Ok(Ok(Some(Err(notice)))) => self.feed(refusal_event(&notice)),
            Ok(Ok(None)) => {
                let kind = CallerErrorKind::NodeStopping;
                self.feed(RequestEvent::GrantRefused { kind, retry_after: None });
            },
        }
    }

    /// Sends the attempt, unless its grant or its permit has expired or its endpoint is removed.
    async fn send_attempt(&mut self, attempt: AttemptId) {
        let now = self.now();
        let Some(grant) = self.grant.as_ref().filter(|grant| grant.ticket.attempt == attempt)
        else {
            return;
        };
        if now >= grant.send_before {
            return self.feed(RequestEvent::GrantExpired { attempt });
        }
        let view = self.shared.control.view();
        let Some(location) = view.endpoint(&grant.ticket.endpoint) else {
            return self.feed(RequestEvent::ConnectFailed { attempt });
        };
        let request = PlainRequest {
            address: location.address,
            attempt,
            method: self.call.method.clone(),
            target: self.call.target.clone(),
            headers: self.call.headers.clone(),
            body: self.call.body.clone(),
            timeout: self.call.deadline.saturating_sub(now) + self.late_answer_time(),
        };
        let pool = grant.ticket.pool.clone();
        if self.permit.is_some_and(|permit| !permit.allows(ledger_time(&self.shared.clock))) {
            let kind = CallerErrorKind::LedgerUnavailable;
            return self.feed(RequestEvent::GrantRefused { kind, retry_after: None });
        }
        self.feed(RequestEvent::SendStarting { attempt });
        if self.tracker.is_finished() {
            return;
        }
        if let Some(ledger_call) = &mut self.ledger_call {
            ledger_call.mark_sent();
        }
        self.shared.control.send(ControlCommand::Started { pool, attempt });
        let mut exchange = PlainExchange::start(self.client.clone(), request);
        match self.unless_interrupted(exchange.result()).await {
            Err(event) => {
                self.exchange = Some(exchange).filter(|_| self.ledger_call.is_some());
                self.feed(event);
            },
            Ok(Ok(answer)) => self.handle_answer(attempt, answer),
            Ok(Err(error)) => self.handle_failure(attempt, &error),
        }
    }

    /// Keeps the answer and feeds its events to the tracker.
    fn handle_answer(&mut self, attempt: AttemptId, answer: PlainAnswer) {
        let echoed = answer.echoed;
        self.answer = Some(answer);
        self.feed(RequestEvent::HeadReceived { attempt, echoed, boot: None });
        self.feed(RequestEvent::ChunkReceived { attempt, index: 0 });
        self.feed(RequestEvent::AnswerCompleted { attempt });
    }

    /// Feeds the failure of an attempt to the tracker.
    fn handle_failure(&mut self, attempt: AttemptId, error: &PlainError) {
        let echoed = error.get_echoed();
        match error.kind() {
            PlainErrorKind::NotSent => {
                self.report_reset();
                self.feed(RequestEvent::ConnectFailed { attempt });
            },
            PlainErrorKind::Refused => {
                self.feed(RequestEvent::HeadReceived { attempt, echoed, boot: None });
                let retry_after = error.get_retry_after();
                self.feed(RequestEvent::RefusedByEndpoint { attempt, retry_after });
            },
            PlainErrorKind::TooLarge => {
                self.feed(RequestEvent::HeadReceived { attempt, echoed, boot: None });
                self.feed(RequestEvent::EndpointFailed { attempt });
            },
            PlainErrorKind::Lost => {
                self.report_reset();
                self.feed(RequestEvent::ConnectionLost { attempt, cause: LossCause::Connection });
            },
        }
    }

    /// Reports that the connection to the endpoint broke or could not be opened.
    fn report_reset(&self) {
        if let Some(grant) = &self.grant {
            let (pool, endpoint) = (grant.ticket.pool.clone(), grant.ticket.endpoint.clone());
            self.shared.control.send(ControlCommand::ConnectionReset { pool, endpoint });
        }
    }

    /// Releases the grant of `attempt`.
    ///
    /// If the answer may still arrive and is to be recorded, the grant is held until then.
    fn close_attempt(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let grant = self.grant.take_if(|grant| grant.ticket.attempt == attempt);
        let Some(report) = grant.map(|grant| grant.into_report(outcome)) else {
            return;
        };
        match (self.exchange.take(), self.ledger_call.take()) {
            (Some(exchange), Some(ledger_call)) => {
                actix_rt::spawn(exchange.record_late_answer(
                    self.shared.clone(),
                    ledger_call,
                    report,
                ));
            },
            (_, ledger_call) => {
                self.ledger_call = ledger_call;
                self.shared.control.send(ControlCommand::Ended(report));
            },
        }
    }

    /// Completes the call in the ledger and returns its outcome.
    fn resolve_outcome(&mut self, outcome: FinalOutcome) -> PlainOutcome {
        let ledger_call = self.ledger_call.take();
        let answer = self.answer.take().filter(|_| outcome.error.is_none());
        if let Some(mut ledger_call) = ledger_call {
            match &answer {
                Some(answer) => ledger_call.complete(recorded_answer(answer)),
                None if outcome.executed == ExecutionCertainty::No => ledger_call.mark_not_run(),
                None => {},
            }
        }
        match (answer, outcome.error) {
            (Some(answer), None) => PlainOutcome::Answer(answer),
            (_, Some(error)) => PlainOutcome::Failed(error),
            (None, None) => PlainOutcome::Failed(CallerError::new(
                CallerErrorKind::EndpointFailed,
                outcome.executed,
            )),
        }
    }

    /// Counts the call in the metrics and logs its outcome.
    fn record(&self, outcome: &PlainOutcome) {
        let (code, executed) = match outcome {
            PlainOutcome::Answer(_) => (ANSWERED_CODE, ExecutionCertainty::Yes),
            PlainOutcome::Replay(_) => (REPLAYED_CODE, ExecutionCertainty::Yes),
            PlainOutcome::Failed(error) => (error.kind().code(), error.executed()),
        };
        let labels = RequestLabels { outcome: code, executed: executed.name() };
        self.shared.metrics.requests.get_or_create(&labels).inc();
        info!(
            self.shared.logger, "plain: call ended";
            "request" => format!("{:032x}", self.call.id),
            "account" => %self.call.account,
            "service" => %self.call.service,
            "outcome" => code,
            "executed" => executed.name(),
        );
    }

    /// Feeds an event to the tracker and queues the actions that follow from it.
    fn feed(&mut self, event: RequestEvent) {
        let now = self.now();
        let jitter = rand::random_range(0..=FULL_JITTER_PERMILLE);
        let mut budgets = self.context.retry_budgets.borrow_mut();
        let budget = budgets.entry(self.call.service.clone()).or_default();
        let actions = self.tracker.handle(event, now, jitter, budget);
        drop(budgets);
        self.actions.extend(actions);
    }

    fn now(&self) -> MonotonicTime {
        self.shared.clock.now()
    }

    /// Returns the time after the deadline during which an answer is still recorded.
    fn late_answer_time(&self) -> Duration {
        self.ledger_call.as_ref().map_or(Duration::ZERO, |_| LATE_ANSWER_TIME)
    }

    /// Returns the pool of the service that the call's id selects; none if there is no pool.
    fn choose_pool(&self) -> Option<PoolId> {
        let view = self.shared.control.view();
        let pools = view.pools(&self.call.service);
        let count = u128::try_from(pools.len()).ok().filter(|count| *count > 0)?;
        pools.get(usize::try_from(self.call.id % count).ok()?).cloned()
    }

    /// Returns the profile under which the call is admitted; a plain call has no tokens.
    fn profile(&self) -> RequestProfile {
        // A grant that arrives after the permit has expired could not be used.
        let permit_deadline = self.permit.map_or(self.call.deadline, |permit| permit.send_by);
        RequestProfile {
            id: self.call.id,
            account: self.call.account.clone(),
            service: self.call.service.clone(),
            prompt_tokens: 0,
            max_output_tokens: 0,
            fingerprint: 0,
            prefix_blocks: Vec::new(),
            deadline: self.call.deadline.min(permit_deadline),
        }
    }

    /// Waits for `work`, but at most until the call is interrupted.
    ///
    /// # Errors
    ///
    /// Returns the event of the interruption: the deadline passed, the shutdown was forced, or,
    /// unless the call must be recorded in the ledger, the caller disconnected.
    async fn unless_interrupted<F: Future>(&mut self, work: F) -> Result<F::Output, RequestEvent> {
        let remaining = self.call.deadline.saturating_sub(self.now());
        let mut phase = self.shared.phase.clone();
        let must_record = self.ledger_call.is_some();
        tokio::select! {
            biased;
            output = work => Ok(output),
            () = tokio::time::sleep(remaining) => Err(RequestEvent::DeadlinePassed),
            () = self.reply.closed(), if !must_record => Err(RequestEvent::CallerDisconnected),
            _ = phase.wait_for(|phase| *phase == NodePhase::Stopping) => {
                Err(RequestEvent::ShutdownForced)
            },
        }
    }
}

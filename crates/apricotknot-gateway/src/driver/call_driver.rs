//! Driver of one call: it places the call, makes its attempts and forwards the answer.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use actix_http::ResponseHead;
use actix_http::header::CONTENT_ENCODING;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderValue;
use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::PartCrashReport;
use apricotknot_core::routing::CallKind;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::watch;

use super::AdmittedCall;
use super::CallFault;
use super::CallOutcome;
use super::TrafficContext;
use super::attempt::AnswerBody;
use super::attempt::AnsweredAttempt;
use super::attempt::AttemptFault;
use super::attempt::AttemptStage;
use super::attempt::CallInterrupt;
use super::attempt::OpenAttempt;
use super::attempt::StandbyEvent;
use super::attempt::WaitInterrupt;
use super::endpoint_access::report_notices;
use crate::caller::CallerConnection;
use crate::caller::ConnectionError;
use crate::caller::remove_hop_by_hop_headers;
use crate::control::ControlCommand;
use crate::control::EndpointGrant;
use crate::endpoint::AnswerMemory;
use crate::endpoint::EndpointExchange;
use crate::endpoint::EventOrder;
use crate::endpoint::EventSplitter;
use crate::endpoint::ExchangeError;
use crate::protocol::CallProtocol;

/// Most attempts that one call sends to endpoints, including those that are refused.
pub(super) const MAX_SENDS: u32 = 4;

/// Most attempts of one call for which no peer made a connection.
const MAX_RELAY_FAILURES: u32 = 2;

/// Shortest silence after which another endpoint is tried.
const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(900);

/// Runs one call to its end.
pub(super) struct CallDriver<'a, P> {
    pub(super) context: &'a TrafficContext<P>,
    pub(super) connection: &'a mut CallerConnection,
    pub(super) call: AdmittedCall,
    /// Order of the events that were forwarded to the caller.
    pub(super) event_order: EventOrder,
    /// Whether the head of an answer was written to the caller.
    pub(super) has_answer_begun: bool,
    /// Content type of the answer that was begun, if it had one.
    pub(super) content_type: Option<HeaderValue>,
    /// Whether the node is about to end, and the call with it.
    pub(super) ending: watch::Receiver<bool>,
    /// Endpoints that no further attempt may use.
    pub(super) excluded: Vec<EndpointId>,
    /// Endpoints that this node could not connect to.
    pub(super) unreached: Vec<EndpointId>,
    /// Number of attempts for which no peer made a connection.
    pub(super) relay_failures: u32,
    /// Endpoint of the latest attempt.
    pub(super) endpoint: Option<EndpointId>,
    /// Whether the call was counted as one that began to run.
    pub(super) is_counted: bool,
    /// Time from the arrival of the call until the first answer began.
    pub(super) answer_begun_after: Option<Duration>,
    /// Grant for the endpoint that replaces a silent one.
    pub(super) next_grant: Option<EndpointGrant>,
    /// Silent attempt that goes on if the one that replaces it does not begin first.
    pub(super) standby: Option<Box<AttemptStage>>,
    /// Number of endpoints that were to replace silent ones.
    pub(super) replacements: u32,
    /// Number of attempts that were sent to endpoints.
    pub(super) sends: u32,
    /// Number of attempts that may have run.
    pub(super) runs: u32,
    /// Server error of an endpoint, which is forwarded if no later attempt is answered.
    pub(super) fallback: Option<(ResponseHead, Bytes)>,
    /// Memory of the answers that the call holds.
    pub(super) answer_memory: AnswerMemory,
}

impl<'a, P: CallProtocol> CallDriver<'a, P> {
    pub(super) fn new(
        context: &'a TrafficContext<P>,
        connection: &'a mut CallerConnection,
        call: AdmittedCall,
    ) -> Self {
        let event_order = EventOrder::after(call.metadata.last_event_id);
        Self {
            context,
            connection,
            call,
            event_order,
            has_answer_begun: false,
            content_type: None,
            ending: context.shared.ending(),
            excluded: Vec::new(),
            unreached: Vec::new(),
            relay_failures: 0,
            endpoint: None,
            is_counted: false,
            answer_begun_after: None,
            next_grant: None,
            standby: None,
            replacements: 0,
            sends: 0,
            runs: 0,
            fallback: None,
            answer_memory: AnswerMemory::new(Arc::clone(&context.answer_budget)),
        }
    }

    /// Runs the call to its end.
    pub(super) async fn run(mut self) -> CallOutcome {
        let outcome = self.make_attempts().await;
        self.drop_standby();
        let outcome = self.answer_caller(outcome).await;
        self.record_outcome(&outcome);
        self.connection.hold_memory(self.answer_memory);
        outcome
    }

    /// Makes attempts until one is answered or no further one is made.
    async fn make_attempts(&mut self) -> CallOutcome {
        let mut resumed = None;
        loop {
            let ended = match resumed.take() {
                Some(stage) => self.finish_attempt(stage).await,
                None => match self.request_grant().await {
                    Ok(grant) => self.run_attempt(grant).await,
                    Err(outcome) => return outcome,
                },
            };
            let interrupt = match ended {
                Ok(()) => return CallOutcome::Answered,
                Err(interrupt) => interrupt,
            };
            match interrupt {
                CallInterrupt::CallerDisconnected => return CallOutcome::CallerDisconnected,
                CallInterrupt::Deadline => return self.deadline_outcome(),
                CallInterrupt::Truncated => return CallOutcome::Truncated,
                CallInterrupt::SetAside => {},
                CallInterrupt::StandbyGoesOn => resumed = self.take_standby(true),
                CallInterrupt::Attempt(fault) => {
                    resumed = self.take_standby(false);
                    if resumed.is_none() && !self.may_try_another(fault) {
                        return self.failure_outcome(None);
                    }
                },
            }
        }
    }

    /// Makes one attempt and forwards its answer.
    async fn run_attempt(&mut self, grant: EndpointGrant) -> Result<(), CallInterrupt> {
        let open = self.open_attempt(grant).await?;
        self.finish_attempt(AttemptStage::Sent(open)).await
    }

    /// Reads the answer of an attempt in progress, and forwards it.
    async fn finish_attempt(&mut self, stage: AttemptStage) -> Result<(), CallInterrupt> {
        let AnsweredAttempt { open, head, body } = match stage {
            AttemptStage::Sent(open) => self.read_head(open).await?,
            AttemptStage::Answered(answered) => answered,
        };
        match body {
            AnswerBody::Events(splitter) => self.relay_events(open, head, splitter).await,
            AnswerBody::Whole(body) => self.relay_buffered(open, head, body).await,
        }
    }

    async fn read_head(&mut self, mut open: OpenAttempt) -> Result<AnsweredAttempt, CallInterrupt> {
        if let Some(head) = open.early_head.take() {
            return self.check_head(open, head);
        }
        match self.next_step(&mut open, EndpointExchange::read_head).await {
            Err(reason) => {
                self.count_unanswered(&open);
                Err(self.interrupt_stage(AttemptStage::Sent(open), reason))
            },
            Ok(Err(error)) => {
                self.count_unanswered(&open);
                Err(self.end_broken_attempt(open, &error))
            },
            Ok(Ok(head)) => {
                open.progress_at = self.now();
                self.check_head(open, head)
            },
        }
    }

    /// Checks that an answer is from the intended endpoint, for this request, and can be forwarded.
    fn check_head(
        &mut self,
        mut open: OpenAttempt,
        head: ResponseHead,
    ) -> Result<AnsweredAttempt, CallInterrupt> {
        let metadata = self.context.protocol.read_answer(&head);
        self.report_rate(&open, &metadata);
        let answered_id = metadata.request_id.as_deref();
        let is_own = answered_id.is_none_or(|id| id == &*self.call.metadata.request_id);
        if is_own && !metadata.is_misdirected {
            open.backoff = metadata.backoff;
            let relayed_by = open.exchange.relayed_by();
            report_notices(self.context, &open.endpoint, relayed_by, &metadata);
        }
        // The refusal of another request says nothing about this one, which may be running.
        if is_own && (metadata.is_misdirected || metadata.is_not_run) {
            let end = match metadata.is_misdirected {
                true => AttemptEnd::Gone,
                false => AttemptEnd::Refused,
            };
            open.guard.set_end(end);
            self.record_failed_attempt(&open.endpoint, end, head.status.as_str());
            self.excluded.push(open.at_fault(metadata.at_fault.as_deref()));
            return Err(CallInterrupt::Attempt(AttemptFault::NotRun));
        }
        self.count_answered(&open, head.status);
        let is_valid = metadata.is_sealed
            && is_own
            && answered_id.is_some()
            && !head.headers.contains_key(CONTENT_ENCODING);
        if is_valid && self.can_continue(&head) {
            let is_stream = self.call.route.kind == CallKind::Stream && head.status.is_success();
            let body = match is_stream {
                true => AnswerBody::Events(EventSplitter::default()),
                false => AnswerBody::Whole(BytesMut::new()),
            };
            return Ok(AnsweredAttempt { open, head, body });
        }
        let end = open.failed_end();
        open.guard.set_end(end);
        let cause = if is_valid { head.status.as_str() } else { "unsound head" };
        self.record_failed_attempt(&open.endpoint, end, cause);
        self.excluded.push(open.endpoint);
        self.runs += 1;
        Err(CallInterrupt::Attempt(AttemptFault::MayHaveRun))
    }

    /// Returns whether an answer can be forwarded after what the caller has already received.
    ///
    /// Once a stream has begun, only a stream of the same type continues it.
    fn can_continue(&self, head: &ResponseHead) -> bool {
        let is_same_type = head.headers.get(CONTENT_TYPE) == self.content_type.as_ref();
        !self.has_answer_begun || (head.status.is_success() && is_same_type)
    }

    /// Returns whether the call may run again after an attempt that may have run.
    pub(super) fn may_run_again(&self) -> bool {
        self.call.route.is_retry_safe() && self.runs < self.call.route.max_attempts
    }

    /// Returns whether another attempt may follow one that failed with `fault`.
    fn may_try_another(&self, fault: AttemptFault) -> bool {
        let is_spent = self.sends >= MAX_SENDS || self.relay_failures >= MAX_RELAY_FAILURES;
        if is_spent || self.now() >= self.call.deadline {
            return false;
        }
        match fault {
            AttemptFault::NotRun => self.runs == 0 || self.may_run_again(),
            AttemptFault::MayHaveRun => self.may_run_again(),
        }
    }

    /// Returns the outcome of a call whose deadline has passed.
    pub(super) fn deadline_outcome(&self) -> CallOutcome {
        if self.has_answer_begun {
            return CallOutcome::Truncated;
        }
        CallOutcome::Fault(if self.has_run() { CallFault::LateSent } else { CallFault::LateUnsent })
    }

    /// Returns the outcome of a call that gets no further attempt.
    ///
    /// `refusal` is the answer if no attempt may have run.
    pub(super) fn failure_outcome(&self, refusal: Option<CallFault>) -> CallOutcome {
        if self.has_answer_begun {
            return CallOutcome::Truncated;
        }
        if self.has_run() {
            return CallOutcome::Fault(CallFault::Lost);
        }
        let no_endpoint = CallFault::Refused {
            reason: "no endpoint took it",
            retry_after: Duration::from_millis(500),
        };
        CallOutcome::Fault(refusal.unwrap_or(no_endpoint))
    }

    pub(super) fn has_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns how long an endpoint may be silent before another one is tried.
    ///
    /// Returns `None` if no other endpoint may be tried.
    pub(super) fn silence_limit(&self, expected_start: Duration) -> Option<Duration> {
        if !self.may_run_again() || self.runs + 1 >= self.call.route.max_attempts {
            return None;
        }
        Some(self.call.route.target_latency.max(expected_start * 2) * 2 + MIN_SILENCE_LIMIT)
    }

    /// Ends an attempt whose connection broke after the request was sent.
    pub(super) fn end_broken_attempt(
        &mut self,
        mut open: OpenAttempt,
        error: &ExchangeError,
    ) -> CallInterrupt {
        self.runs += 1;
        if matches!(error, ExchangeError::UnconfirmedEnd) {
            // It says nothing about the endpoint or the request.
            open.guard.set_end(AttemptEnd::Abandoned);
            let cause = error.to_string();
            self.record_failed_attempt(&open.endpoint, AttemptEnd::Abandoned, &cause);
        } else {
            self.record_broken(&mut open, &error.to_string());
        }
        self.excluded.push(open.endpoint);
        CallInterrupt::Attempt(AttemptFault::MayHaveRun)
    }

    /// Reports to the control thread that the connection of an attempt broke.
    pub(super) fn record_broken(&self, open: &mut OpenAttempt, cause: &str) {
        open.guard.set_end(AttemptEnd::Broken);
        self.context.control.send(ControlCommand::ConnectionBroken {
            fingerprint: self.call.fingerprint,
            endpoint: Arc::clone(&open.endpoint),
        });
        if !open.has_begun && !self.call.metadata.shared_parts.is_empty() {
            self.context.control.send(ControlCommand::PromptBroken(PartCrashReport {
                attempt: open.guard.attempt(),
                endpoint: Arc::clone(&open.endpoint),
                request: self.call.fingerprint,
                parts: self.call.metadata.shared_parts.to_vec(),
                age_ms: 0,
            }));
        }
        self.record_failed_attempt(&open.endpoint, AttemptEnd::Broken, cause);
    }

    /// Answers the caller with the fallback or the error, if the call was not answered.
    async fn answer_caller(&mut self, outcome: CallOutcome) -> CallOutcome {
        let CallOutcome::Fault(fault) = &outcome else {
            return outcome;
        };
        let (head, body) = match self.fallback.take() {
            Some(answer) => answer,
            None => {
                let (mut head, body) = fault.answer();
                self.context.protocol.write_refusal(&mut head, &self.call.metadata.request_id);
                (head, body)
            },
        };
        match self.write_answer(head, body) {
            Ok(()) => outcome,
            Err(_) => CallOutcome::CallerDisconnected,
        }
    }

    pub(super) fn write_answer(
        &mut self,
        mut head: ResponseHead,
        body: Bytes,
    ) -> Result<(), ConnectionError> {
        remove_hop_by_hop_headers(&mut head.headers);
        self.close_if_stopping();
        self.connection.write_answer(&head, body)
    }

    /// Closes the caller's connection after the answer if the node is stopping.
    pub(super) fn close_if_stopping(&mut self) {
        if self.context.shared.is_stopping() {
            self.connection.close_after_answer();
        }
    }

    /// Waits for the next part of an answer.
    ///
    /// If the endpoint is silent for too long, a replacement is requested. If there is none, the
    /// wait goes on without a silence limit, but not beyond the time for which other endpoints keep
    /// memory that is not used.
    pub(super) async fn next_step<T>(
        &mut self,
        open: &mut OpenAttempt,
        step: impl AsyncFn(&mut EndpointExchange) -> T,
    ) -> Result<T, WaitInterrupt> {
        loop {
            let silence_left = open.silence_left(self.now());
            let limit = silence_left.into_iter().chain(open.unused_left(self.now())).min();
            match self.unless_interrupted(step(&mut open.exchange), limit).await {
                Err(WaitInterrupt::Silence) if open.is_unused(self.now()) => {
                    return Err(WaitInterrupt::Silence);
                },
                Err(WaitInterrupt::Silence)
                    if !self.may_set_aside() || !self.find_replacement(&open.endpoint).await =>
                {
                    open.silence_limit = None;
                },
                ended => return ended,
            }
        }
    }

    /// Waits for `work` unless the caller disconnects, the deadline passes, the node ends, the attempt
    /// that was set aside goes on or the silence limit is reached first.
    pub(super) async fn unless_interrupted<F: Future>(
        &mut self,
        work: F,
        silence_limit: Option<Duration>,
    ) -> Result<F::Output, WaitInterrupt> {
        let left = self.call.deadline.saturating_sub(self.now());
        if left.is_zero() {
            return Err(WaitInterrupt::Deadline);
        }
        let mut work = pin!(work);
        let mut deadline = pin!(tokio::time::sleep(left));
        let mut silence = pin!(sleep_or_wait(silence_limit));
        loop {
            let standby = self.standby.as_deref_mut();
            // The caller and the deadline come first: with an endpoint that sends without end, the
            // work is always ready.
            let event = tokio::select! {
                biased;
                () = self.connection.wait_closed() => return Err(WaitInterrupt::CallerDisconnected),
                () = &mut deadline => return Err(WaitInterrupt::Deadline),
                _ = self.ending.wait_for(|is_ending| *is_ending) => {
                    return Err(WaitInterrupt::Deadline);
                },
                output = &mut work => return Ok(output),
                event = standby_event(standby) => event,
                () = &mut silence => return Err(WaitInterrupt::Silence),
            };
            if event == StandbyEvent::GoesOn {
                return Err(WaitInterrupt::StandbyGoesOn);
            }
            self.end_standby(event);
        }
    }

    pub(super) fn now(&self) -> MonotonicTime {
        self.context.clock.now()
    }
}

/// Waits for `time`, or without end.
async fn sleep_or_wait(time: Option<Duration>) {
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => std::future::pending().await,
    }
}

/// Waits until the attempt that was set aside goes on or cannot; without end if there is none.
async fn standby_event(standby: Option<&mut AttemptStage>) -> StandbyEvent {
    match standby {
        Some(stage) => stage.wait_event().await,
        None => std::future::pending().await,
    }
}

//! Places a call, makes its attempts and passes the answer on.

use std::sync::Arc;
use std::time::Duration;

use actix_http::ResponseHead;
use actix_http::header::CONTENT_ENCODING;
use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::routing::CallKind;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use bytes::Bytes;

use super::CallFault;
use super::CallRecord;
use super::TrafficContext;
use super::attempt::AnsweredAttempt;
use super::attempt::AttemptFault;
use super::attempt::CallBreak;
use super::attempt::OpenAttempt;
use super::attempt::WaitBreak;
use super::reservation::reserve;
use crate::caller::CallerConnection;
use crate::caller::ConnectionError;
use crate::caller::hop_free;
use crate::control::AttemptGuard;
use crate::control::ControlCommand;
use crate::control::EndpointGrant;
use crate::endpoint::EndpointExchange;
use crate::endpoint::ExchangeError;
use crate::endpoint::ExchangeOrder;
use crate::protocol::AttemptOrder;
use crate::protocol::CallProtocol;

/// Longest time to connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Most endpoints that one call is offered to, those among them that refuse it.
const MAX_SENDS: u32 = 4;

/// Prompts up to this length are read before longer ones.
const SHORT_PROMPT: u64 = 24_000;

/// Prompts up to this length are read before archives.
const MEDIUM_PROMPT: u64 = 110_000;

/// Shortest silence after which another endpoint is tried.
const MIN_PATIENCE: Duration = Duration::from_millis(900);

/// How a call ended, for the log and the metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CallEnd {
    /// An endpoint's answer was passed on whole.
    Answered,
    /// The gateway answered by itself.
    Fault(CallFault),
    /// The answer broke off after it had begun.
    Cut,
    /// The caller left.
    CallerGone,
}

impl CallEnd {
    /// Returns the name used in metrics and logs.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Fault(fault) => fault.name(),
            Self::Cut => "cut",
            Self::CallerGone => "caller_gone",
        }
    }

    /// Returns why the call ended so, where it was not answered.
    pub(super) fn cause(&self) -> Option<String> {
        match self {
            Self::Fault(fault) => Some(fault.to_string()),
            Self::Answered | Self::Cut | Self::CallerGone => None,
        }
    }
}

/// Drives one call.
pub(super) struct CallDriver<'a, P> {
    pub(super) context: &'a TrafficContext<P>,
    pub(super) connection: &'a mut CallerConnection,
    pub(super) call: CallRecord,
    pub(super) last_event: Option<u64>,
    pub(super) has_begun: bool,
    pub(super) excluded: Vec<EndpointId>,
    /// Endpoint of the newest attempt.
    pub(super) endpoint: Option<EndpointId>,
    pub(super) begun_after: Option<Duration>,
    /// Endpoint that was found in place of a silent one.
    pub(super) next_grant: Option<EndpointGrant>,
    pub(super) sends: u32,
    pub(super) runs: u32,
    /// Answer that is passed on if no better one comes.
    pub(super) fallback: Option<(ResponseHead, Bytes)>,
}

impl<'a, P: CallProtocol> CallDriver<'a, P> {
    pub(super) fn new(
        context: &'a TrafficContext<P>,
        connection: &'a mut CallerConnection,
        call: CallRecord,
    ) -> Self {
        let last_event = call.terms.last_event;
        Self {
            context,
            connection,
            call,
            last_event,
            has_begun: false,
            excluded: Vec::new(),
            endpoint: None,
            begun_after: None,
            next_grant: None,
            sends: 0,
            runs: 0,
            fallback: None,
        }
    }

    /// Runs the call to its end.
    pub(super) async fn run(mut self) -> CallEnd {
        let end = loop {
            let grant = match self.ask_grant().await {
                Ok(grant) => grant,
                Err(end) => break end,
            };
            match self.attempt(grant).await {
                Ok(()) => break CallEnd::Answered,
                Err(CallBreak::CallerGone) => break CallEnd::CallerGone,
                Err(CallBreak::Deadline) => break self.end_late(),
                Err(CallBreak::Attempt(fault)) if self.may_go_on(fault) => {},
                Err(CallBreak::Attempt(_)) => break self.end_failed(None),
            }
        };
        let end = self.tell_caller(end).await;
        self.record(&end);
        end
    }

    // Attempting

    async fn attempt(&mut self, grant: EndpointGrant) -> Result<(), CallBreak> {
        let open = self.open(grant).await?;
        let answered = self.read_head(open).await?;
        let is_stream = self.call.route.kind == CallKind::Stream;
        if is_stream && answered.head.status.is_success() {
            return self.relay_events(answered).await;
        }
        self.relay_whole(answered).await
    }

    async fn open(&mut self, grant: EndpointGrant) -> Result<OpenAttempt, CallBreak> {
        let mut guard = grant.guard;
        let reserving = reserve(self.context, guard.attempt(), &grant.helpers);
        let (helpers, memory) = match self.unless_broken(reserving, None).await {
            Err(WaitBreak::CallerGone) => return Err(CallBreak::CallerGone),
            Err(_) => return Err(CallBreak::Deadline),
            Ok(Some(reserved)) => reserved,
            Ok(None) => {
                guard.set_end(AttemptEnd::Refused);
                self.note_attempt(&grant.endpoint, AttemptEnd::Refused, "no memory at a helper");
                return Err(CallBreak::Attempt(AttemptFault::NotRun));
            },
        };
        let mut head = self.call.head.clone();
        let order = AttemptOrder {
            endpoint: Arc::clone(&grant.endpoint),
            account: self.call.account.clone(),
            time_left: self.call.deadline.saturating_sub(self.now()),
            last_event: self.last_event,
            urgency: urgency_of(self.call.terms.size.prompt),
            helpers,
        };
        self.context.protocol.write_attempt(&mut head, &order);
        let order = ExchangeOrder {
            address: grant.address,
            head,
            body: self.call.body.clone(),
            connect_timeout: CONNECT_TIMEOUT,
        };
        let opening = EndpointExchange::open(&self.context.http, order);
        match self.unless_broken(opening, None).await {
            Err(WaitBreak::CallerGone) => Err(CallBreak::CallerGone),
            Err(_) => Err(CallBreak::Deadline),
            Ok(Err(error)) => {
                guard.set_end(AttemptEnd::Unreachable);
                drop(guard);
                self.note_attempt(&grant.endpoint, AttemptEnd::Unreachable, &error.to_string());
                self.excluded.push(grant.endpoint);
                Err(CallBreak::Attempt(AttemptFault::NotRun))
            },
            Ok(Ok(exchange)) => {
                self.sends += 1;
                self.endpoint = Some(Arc::clone(&grant.endpoint));
                Ok(OpenAttempt {
                    guard,
                    endpoint: grant.endpoint,
                    exchange,
                    patience: self.patience(grant.expected),
                    helpers: grant.helpers,
                    _memory: memory,
                    expected: grant.expected,
                    sent_at: self.now(),
                })
            },
        }
    }

    async fn read_head(&mut self, mut open: OpenAttempt) -> Result<AnsweredAttempt, CallBreak> {
        match self.next_step(&mut open, EndpointExchange::read_head).await {
            Err(reason) => Err(self.stop_attempt(open.guard, &open.endpoint, reason)),
            Ok(Err(error)) => Err(self.lose(open, &error)),
            Ok(Ok(head)) => self.check_head(open, head),
        }
    }

    fn check_head(
        &mut self,
        mut open: OpenAttempt,
        head: ResponseHead,
    ) -> Result<AnsweredAttempt, CallBreak> {
        let terms = self.context.protocol.read_answer(&head);
        if terms.is_misdirected || terms.is_not_run {
            let end = match terms.is_misdirected {
                true => AttemptEnd::Unreachable,
                false => AttemptEnd::Refused,
            };
            open.guard.set_end(end);
            self.note_attempt(&open.endpoint, end, head.status.as_str());
            self.excluded.push(open.at_fault(terms.at_fault.as_deref()));
            return Err(CallBreak::Attempt(AttemptFault::NotRun));
        }
        let is_ours = terms.request_id.as_deref() == Some(&*self.call.terms.request_id);
        let is_sound = terms.is_sealed && is_ours && !head.headers.contains_key(CONTENT_ENCODING);
        // Into a stream that has begun, only the rest of it can be written.
        let may_follow = !self.has_begun || head.status.is_success();
        if is_sound && may_follow {
            return Ok(AnsweredAttempt { open, head });
        }
        open.guard.set_end(AttemptEnd::Failed);
        let cause = if is_sound { head.status.as_str() } else { "unsound head" };
        self.note_attempt(&open.endpoint, AttemptEnd::Failed, cause);
        self.excluded.push(open.endpoint);
        self.runs += 1;
        Err(CallBreak::Attempt(AttemptFault::MayHaveRun))
    }

    // Deciding

    pub(super) fn may_run_again(&self) -> bool {
        self.call.route.is_retry_safe() && self.runs < self.call.route.max_attempts
    }

    fn may_go_on(&self, fault: AttemptFault) -> bool {
        if self.sends >= MAX_SENDS || self.now() >= self.call.deadline {
            return false;
        }
        match fault {
            AttemptFault::NotRun => self.runs == 0 || self.may_run_again(),
            AttemptFault::MayHaveRun => self.may_run_again(),
        }
    }

    pub(super) fn end_late(&self) -> CallEnd {
        if self.has_begun {
            return CallEnd::Cut;
        }
        CallEnd::Fault(if self.has_run() { CallFault::LateSent } else { CallFault::LateUnsent })
    }

    pub(super) fn end_failed(&self, refusal: Option<CallFault>) -> CallEnd {
        if self.has_begun {
            return CallEnd::Cut;
        }
        if self.has_run() {
            return CallEnd::Fault(CallFault::Lost);
        }
        let full = CallFault::Refused {
            reason: "no endpoint took it",
            retry_after: Duration::from_millis(500),
        };
        CallEnd::Fault(refusal.unwrap_or(full))
    }

    pub(super) fn has_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns how long an endpoint may be silent before another one is tried.
    fn patience(&self, expected: Duration) -> Option<Duration> {
        if !self.may_run_again() || self.runs + 1 >= self.call.route.max_attempts {
            return None;
        }
        Some(self.call.route.target_latency.max(expected * 2) * 2 + MIN_PATIENCE)
    }

    // Failing

    /// Ends an attempt that was stopped from this side.
    pub(super) fn stop_attempt(
        &mut self,
        mut guard: AttemptGuard,
        endpoint: &EndpointId,
        reason: WaitBreak,
    ) -> CallBreak {
        self.runs += 1;
        match reason {
            WaitBreak::CallerGone => CallBreak::CallerGone,
            WaitBreak::Deadline => {
                guard.set_end(AttemptEnd::Silent);
                self.note_attempt(endpoint, AttemptEnd::Silent, "deadline");
                CallBreak::Deadline
            },
            WaitBreak::Silence => {
                guard.set_end(AttemptEnd::Silent);
                self.note_attempt(endpoint, AttemptEnd::Silent, "silence");
                CallBreak::Attempt(AttemptFault::MayHaveRun)
            },
        }
    }

    /// Ends an attempt whose connection broke after the request was sent.
    pub(super) fn lose(&mut self, mut open: OpenAttempt, error: &ExchangeError) -> CallBreak {
        open.guard.set_end(AttemptEnd::Broken);
        self.runs += 1;
        self.context.control.tell(ControlCommand::Crashed {
            fingerprint: self.call.fingerprint,
            endpoint: Arc::clone(&open.endpoint),
        });
        self.note_attempt(&open.endpoint, AttemptEnd::Broken, &error.to_string());
        self.excluded.push(open.endpoint);
        CallBreak::Attempt(AttemptFault::MayHaveRun)
    }

    // Answering

    async fn tell_caller(&mut self, end: CallEnd) -> CallEnd {
        let CallEnd::Fault(fault) = &end else {
            return end;
        };
        let (head, body) = match self.fallback.take() {
            Some(answer) => answer,
            None => {
                let (mut head, body) = fault.answer();
                self.context.protocol.write_refusal(&mut head, &self.call.terms.request_id);
                (head, body)
            },
        };
        match self.write_whole(head, body) {
            Ok(()) => end,
            Err(_) => CallEnd::CallerGone,
        }
    }

    pub(super) fn write_whole(
        &mut self,
        mut head: ResponseHead,
        body: Bytes,
    ) -> Result<(), ConnectionError> {
        hop_free(&mut head.headers);
        self.note_stop();
        self.connection.answer(&head, body)
    }

    /// Tells the caller to use another connection for the next request if the node stops.
    pub(super) fn note_stop(&mut self) {
        if self.context.shared.is_stopping() {
            self.connection.close_after_answer();
        }
    }

    // Waiting

    /// Waits for the next step of an answer.
    ///
    /// Where the endpoint is silent for too long, another one is looked for; if there is none, the
    /// silent one is waited for without that limit.
    pub(super) async fn next_step<T>(
        &mut self,
        open: &mut OpenAttempt,
        step: impl AsyncFn(&mut EndpointExchange) -> T,
    ) -> Result<T, WaitBreak> {
        loop {
            match self.unless_broken(step(&mut open.exchange), open.patience).await {
                Err(WaitBreak::Silence) if !self.find_other(&open.endpoint).await => {
                    open.patience = None;
                },
                ended => return ended,
            }
        }
    }

    /// Waits for `work` unless the caller leaves, time runs out, or it is silent for too long.
    pub(super) async fn unless_broken<F: Future>(
        &mut self,
        work: F,
        patience: Option<Duration>,
    ) -> Result<F::Output, WaitBreak> {
        let left = self.call.deadline.saturating_sub(self.now());
        let silence = async {
            match patience {
                Some(patience) => tokio::time::sleep(patience).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            output = work => Ok(output),
            () = self.connection.wait_gone() => Err(WaitBreak::CallerGone),
            () = tokio::time::sleep(left) => Err(WaitBreak::Deadline),
            () = silence => Err(WaitBreak::Silence),
        }
    }

    pub(super) fn now(&self) -> MonotonicTime {
        self.context.clock.now()
    }
}

fn urgency_of(prompt: u64) -> u8 {
    match prompt {
        ..=SHORT_PROMPT => 2,
        prompt if prompt <= MEDIUM_PROMPT => 4,
        _ => 6,
    }
}

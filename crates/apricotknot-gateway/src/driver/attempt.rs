//! State of one attempt at one endpoint, and the reasons why it can end early.

use std::sync::Arc;
use std::time::Duration;

use actix_http::ResponseHead;
use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::BackoffStatement;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use bytes::BytesMut;

use super::reservation::ReservationGuard;
use crate::control::AttemptGuard;
use crate::control::HelperGrant;
use crate::endpoint::EndpointExchange;
use crate::endpoint::EventSplitter;
use crate::endpoint::MAX_EVENT_BYTES;

/// Holds an attempt whose connection to the endpoint is open.
pub(super) struct OpenAttempt {
    /// Reports the end of the attempt to the control thread.
    pub(super) guard: AttemptGuard,
    /// Endpoint that runs the attempt.
    pub(super) endpoint: EndpointId,
    /// Endpoints that prefill parts of the prompt.
    pub(super) helpers: Vec<HelperGrant>,
    /// Keeps the memory of the helpers reserved while the attempt is open.
    pub(super) _reservations: ReservationGuard,
    /// Time until which an endpoint has to begin to use reserved memory, if any is.
    pub(super) unused_until: Option<MonotonicTime>,
    /// Connection to the endpoint.
    pub(super) exchange: EndpointExchange,
    /// Head of the answer, if it arrived while the attempt was set aside.
    pub(super) early_head: Option<ResponseHead>,
    /// Longest time without progress of the answer, or `None` for no limit.
    pub(super) silence_limit: Option<Duration>,
    /// Time at which the answer last made progress: its head, a part of its body or, in a stream, a
    /// complete event.
    pub(super) progress_at: MonotonicTime,
    /// Whether the endpoint was known to limit its request rate when the attempt was granted.
    pub(super) is_rate_limited: bool,
    /// Backoff that the endpoint asks for in its answer.
    pub(super) backoff: BackoffStatement,
    /// Time until the answer was expected to begin.
    pub(super) expected_start: Duration,
    /// Whether the first event of the answer has arrived.
    pub(super) has_begun: bool,
    /// Time at which the connection was established.
    pub(super) sent_at: MonotonicTime,
}

impl OpenAttempt {
    /// Returns the time until the answer counts as silent at `now`, if that is limited.
    pub(super) fn silence_left(&self, now: MonotonicTime) -> Option<Duration> {
        self.silence_limit.map(|limit| (self.progress_at + limit).saturating_sub(now))
    }

    /// Returns the time until the attempt is given up at `now` because its memory is not used.
    pub(super) fn unused_left(&self, now: MonotonicTime) -> Option<Duration> {
        let until = self.unused_until.filter(|_| !self.has_begun)?;
        Some(until.saturating_sub(now))
    }

    /// Returns whether other endpoints keep memory for the attempt that no engine uses yet.
    pub(super) fn holds_unused_memory(&self) -> bool {
        self.unused_until.is_some() && !self.has_begun
    }

    /// Returns whether the attempt is to be given up at `now` because its memory is not used.
    pub(super) fn is_unused(&self, now: MonotonicTime) -> bool {
        self.unused_left(now).is_some_and(|left| left.is_zero())
    }

    /// Returns how the attempt ends if the endpoint answers with an error.
    ///
    /// Asking for a backoff is no fault of the endpoint.
    pub(super) fn failed_end(&self) -> AttemptEnd {
        match self.backoff {
            BackoffStatement::None => AttemptEnd::Failed,
            BackoffStatement::For(_) | BackoffStatement::Unreadable => AttemptEnd::Refused,
        }
    }

    /// Returns the helper that `named` names by id or address, or the attempt's own endpoint if it
    /// names none of the helpers.
    pub(super) fn at_fault(&self, named: Option<&str>) -> EndpointId {
        let helper = self.helpers.iter().find(|helper| {
            named.is_some_and(|named| {
                *helper.endpoint == *named || helper.address.to_string() == named
            })
        });
        Arc::clone(helper.map_or(&self.endpoint, |helper| &helper.endpoint))
    }
}

/// Holds an attempt whose answer has begun.
pub(super) struct AnsweredAttempt {
    /// Attempt, whose exchange yields the body of the answer.
    pub(super) open: OpenAttempt,
    /// Head of the answer.
    pub(super) head: ResponseHead,
    /// What has been read of the body and not been forwarded.
    pub(super) body: AnswerBody,
}

/// What has been read of the body of an answer and not been forwarded.
pub(super) enum AnswerBody {
    /// The end of a stream after its last complete event.
    Events(EventSplitter),
    /// All of an answer that is forwarded once it is complete.
    Whole(BytesMut),
}

/// Holds an attempt in progress, by how far its answer has come.
pub(super) enum AttemptStage {
    /// No head of an answer has arrived.
    Sent(OpenAttempt),
    /// The answer has begun.
    Answered(AnsweredAttempt),
}

/// What became of an attempt that was set aside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StandbyEvent {
    /// Its answer goes on.
    GoesOn,
    /// The endpoint answered with a failure.
    Failed,
    /// Its connection broke.
    Broken,
}

impl AttemptStage {
    /// Returns the attempt.
    pub(super) fn open_mut(&mut self) -> &mut OpenAttempt {
        match self {
            Self::Sent(open) => open,
            Self::Answered(answered) => &mut answered.open,
        }
    }

    /// Waits until a silent answer goes on or cannot; what arrives is kept.
    ///
    /// A stream goes on with a complete event.
    pub(super) async fn wait_event(&mut self) -> StandbyEvent {
        let AnsweredAttempt { open, body, .. } = match self {
            Self::Sent(open) => return wait_head(open).await,
            Self::Answered(answered) => answered,
        };
        loop {
            match (open.exchange.read_part().await, &mut *body) {
                (Err(_), _) => return StandbyEvent::Broken,
                (Ok(None), _) => return StandbyEvent::GoesOn,
                (Ok(Some(part)), AnswerBody::Whole(body)) => {
                    body.extend_from_slice(&part);
                    return StandbyEvent::GoesOn;
                },
                (Ok(Some(part)), AnswerBody::Events(splitter)) => {
                    splitter.push(&part);
                    if splitter.has_event() || splitter.len() > MAX_EVENT_BYTES {
                        return StandbyEvent::GoesOn;
                    }
                },
            }
        }
    }
}

async fn wait_head(open: &mut OpenAttempt) -> StandbyEvent {
    match open.exchange.read_head().await {
        Ok(head) if head.status.is_success() => {
            open.early_head = Some(head);
            StandbyEvent::GoesOn
        },
        Ok(_) => StandbyEvent::Failed,
        Err(_) => StandbyEvent::Broken,
    }
}

/// Reports whether an attempt without a usable answer may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptFault {
    /// The endpoint has not run the request and never will.
    NotRun,
    /// The endpoint may have run the request.
    MayHaveRun,
}

/// Reports what interrupted a wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WaitInterrupt {
    /// The caller has closed its connection.
    CallerDisconnected,
    /// The deadline of the call has passed.
    Deadline,
    /// The endpoint sent nothing for longer than the silence limit.
    Silence,
    /// The silent endpoint that was to be replaced goes on.
    StandbyGoesOn,
}

/// Reports why an attempt ended without a complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallInterrupt {
    /// The attempt failed; another one may be made.
    Attempt(AttemptFault),
    /// The caller has closed its connection.
    CallerDisconnected,
    /// The deadline of the call has passed.
    Deadline,
    /// The answer broke off after a part of it was forwarded that no other attempt can continue.
    Truncated,
    /// The attempt is silent and was set aside; another endpoint is tried beside it.
    SetAside,
    /// The attempt that was set aside goes on, and this one is given up for it.
    StandbyGoesOn,
}

//! One attempt at one endpoint.

use std::sync::Arc;
use std::time::Duration;

use actix_http::ResponseHead;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;

use super::reservation::ReservationGuard;
use crate::control::AttemptGuard;
use crate::control::HelperGrant;
use crate::endpoint::EndpointExchange;

/// Holds an attempt that was sent.
pub(super) struct OpenAttempt {
    /// Tells the control thread how the attempt ended.
    pub(super) guard: AttemptGuard,
    /// Endpoint that runs the attempt.
    pub(super) endpoint: EndpointId,
    /// Endpoints that help to read the prompt.
    pub(super) helpers: Vec<HelperGrant>,
    /// Keeps the helpers' memory set aside.
    pub(super) _reservations: ReservationGuard,
    /// Connection to the endpoint.
    pub(super) exchange: EndpointExchange,
    /// Longest silence until the next step of the answer.
    pub(super) silence_limit: Option<Duration>,
    /// Time after which the answer was expected to begin.
    pub(super) expected_start: Duration,
    /// Moment at which the connection was made.
    pub(super) sent_at: MonotonicTime,
}

impl OpenAttempt {
    /// Returns the endpoint that `named` means, by id or address; the runner where nothing fits.
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
    pub(super) open: OpenAttempt,
    pub(super) head: ResponseHead,
}

/// Says why an attempt gave no answer that can be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptFault {
    /// The endpoint has not run the request and never will.
    NotRun,
    /// The endpoint may have run the request.
    MayHaveRun,
}

/// Says what ended a wait before its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WaitInterrupt {
    /// The caller has closed its connection.
    CallerDisconnected,
    /// Time ran out.
    Deadline,
    /// Nothing came for longer than was borne.
    Silence,
}

/// Says why a call is over without its whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallInterrupt {
    /// The attempt failed; another one may be made.
    Attempt(AttemptFault),
    /// The caller has closed its connection.
    CallerDisconnected,
    /// Time ran out.
    Deadline,
}

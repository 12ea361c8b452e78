//! Calls that a node makes to a plain service, and their messages.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderMap;
use apricotknot_core::types::AttemptId;
use apricotknot_gateway::endpoint::AnswerMemory;
use bytes::Bytes;

/// Describes one attempt of a call.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// HTTP method of the call.
    pub method: Method,
    /// Path and query of the call.
    pub target: Arc<str>,
    /// Headers that are forwarded to the service.
    pub headers: HeaderMap,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Longest time until the whole answer has been read.
    pub timeout: Duration,
}

/// Holds a complete answer.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// Attempt id that the service echoes; none if it sends none.
    pub echoed: Option<AttemptId>,
    /// HTTP status.
    pub status: u16,
    /// Headers as the service sent them.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Memory of the body, which counts as long as the body is held, also for a slow caller.
    pub memory: Arc<AnswerMemory>,
}

/// Classifies the failure of an attempt by what it says about execution.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlainErrorKind {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The service refused the call and stated that it did no work.
    Refused,
    /// The connection broke or no complete answer arrived in time, so the outcome is unknown.
    Lost,
    /// The answer is larger than a node reads from a plain service.
    TooLarge,
}

/// Reports a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("call of a plain service failed: {kind:?}")]
pub struct PlainError {
    kind: PlainErrorKind,
    echoed: Option<AttemptId>,
    retry_after: Option<Duration>,
}

impl PlainError {
    /// Creates an error of `kind`.
    pub fn new(kind: PlainErrorKind) -> Self {
        Self { kind, echoed: None, retry_after: None }
    }

    /// Sets the attempt id that the service echoed with its refusal.
    pub fn echoed(mut self, attempt: impl Into<Option<AttemptId>>) -> Self {
        self.echoed = attempt.into();
        self
    }

    /// Sets the time after which the service may be called again.
    pub fn retry_after(mut self, delay: impl Into<Option<Duration>>) -> Self {
        self.retry_after = delay.into();
        self
    }

    /// Returns the kind of the failure.
    pub fn kind(&self) -> PlainErrorKind {
        self.kind
    }

    /// Returns the attempt id that the service echoed with its refusal, if any.
    pub fn get_echoed(&self) -> Option<AttemptId> {
        self.echoed
    }

    /// Returns the time after which the service may be called again, if it named one.
    pub fn get_retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// Calls plain services.
pub trait PlainClient: Clone + 'static {
    /// Sends one attempt and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the service refused the call or no complete answer was read.
    fn call(&self, request: PlainRequest) -> impl Future<Output = Result<PlainAnswer, PlainError>>;
}

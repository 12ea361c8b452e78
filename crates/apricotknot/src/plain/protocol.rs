//! What the node asks of a plain service.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderMap;
use apricotknot_core::types::AttemptId;
use bytes::Bytes;

/// Describes one attempt of a call.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Method of the call.
    pub method: Method,
    /// Path and query of the call.
    pub target: Arc<str>,
    /// Headers that go to the service.
    pub headers: HeaderMap,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Longest time until the whole answer is read.
    pub timeout: Duration,
}

/// Holds a whole answer.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// Attempt that the service says it answers; none where it does not say.
    pub echoed: Option<AttemptId>,
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Names how an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlainErrorKind {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The service refused and said that it did no work.
    Refused,
    /// The connection broke, or no whole answer came in time.
    Lost,
    /// The answer is larger than allowed.
    TooLarge,
}

/// Describes a failed attempt.
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

    /// Sets the attempt that the service says it refuses.
    pub fn echoed(mut self, attempt: impl Into<Option<AttemptId>>) -> Self {
        self.echoed = attempt.into();
        self
    }

    /// Sets the time after which the service may be tried again.
    pub fn retry_after(mut self, delay: impl Into<Option<Duration>>) -> Self {
        self.retry_after = delay.into();
        self
    }

    /// Returns how the attempt failed.
    pub fn kind(&self) -> PlainErrorKind {
        self.kind
    }

    /// Returns the attempt that the service says it refuses.
    pub fn get_echoed(&self) -> Option<AttemptId> {
        self.echoed
    }

    /// Returns the time after which the service may be tried again.
    pub fn get_retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// Speaks with plain services.
pub trait PlainClient: Clone + 'static {
    /// Sends one attempt and reads the whole answer.
    fn call(&self, request: PlainRequest) -> impl Future<Output = Result<PlainAnswer, PlainError>>;
}

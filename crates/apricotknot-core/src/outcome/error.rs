//! Errors that are returned to callers.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use super::CallerErrorKind;
use crate::types::ExecutionCertainty;

/// Describes to a caller why a request was refused or failed, and whether it was executed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct CallerError {
    kind: CallerErrorKind,
    executed: ExecutionCertainty,
    retry_after: Option<Duration>,
    given: Option<Arc<str>>,
    allowed: Option<Arc<str>>,
}

impl CallerError {
    /// Creates an error of `kind`; `executed` states whether the request ran.
    pub fn new(kind: CallerErrorKind, executed: ExecutionCertainty) -> Self {
        Self { kind, executed, retry_after: None, given: None, allowed: None }
    }

    /// Creates an error of `kind` for a request that did not run.
    pub fn not_run(kind: CallerErrorKind) -> Self {
        Self::new(kind, ExecutionCertainty::No)
    }

    /// Sets the time after which the caller should retry.
    pub fn retry_after(mut self, delay: impl Into<Option<Duration>>) -> Self {
        self.retry_after = delay.into();
        self
    }

    /// Sets the value that the caller sent, for the message.
    pub fn given(mut self, given: impl Into<Arc<str>>) -> Self {
        self.given = Some(given.into());
        self
    }

    /// Sets the allowed values, for the message.
    pub fn allowed(mut self, allowed: impl Into<Arc<str>>) -> Self {
        self.allowed = Some(allowed.into());
        self
    }
}

impl CallerError {
    /// Returns the kind of the error, which determines its status, code and message.
    pub fn kind(&self) -> CallerErrorKind {
        self.kind
    }

    /// Returns the HTTP status code of the answer.
    pub fn status(&self) -> u16 {
        self.kind.status()
    }

    /// Returns whether the request was executed, as far as it is known.
    pub fn executed(&self) -> ExecutionCertainty {
        self.executed
    }

    /// Returns the value of the `Retry-After` header, in seconds: rounded up, at least 1.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after
            .map(|delay| delay.as_secs() + u64::from(delay.subsec_nanos() > 0))
            .map(|seconds| seconds.max(1))
    }

    /// Returns the answer body in the format of the OpenAI-compatible interface.
    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "error": {
                "message": self.to_string(),
                "type": self.kind.error_type(),
                "param": null,
                "code": self.kind.code(),
                "executed": self.executed.name(),
            }
        })
    }
}

impl fmt::Display for CallerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.kind.summary())?;
        if let Some(given) = &self.given {
            write!(formatter, ": given {given}")?;
        }
        if let Some(allowed) = &self.allowed {
            write!(formatter, ", allowed {allowed}")?;
        }
        write!(formatter, "; executed: {}. {}", self.executed, self.kind.next_step())
    }
}

//! Errors of calls to engines.

use apricotknot_core::types::AttemptOutcome;

/// Classifies the failure of a call to an engine by what it says about execution.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineErrorKind {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The engine refused the request before it started any work.
    Refused,
    /// The connection broke or the answer did not arrive in time, so the outcome is unknown.
    Lost,
    /// The engine reported a failure after it may have started work.
    Failed,
    /// The answer, or the attempt id in its headers, cannot be parsed.
    Malformed,
}

/// Reports a failed call to an engine.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("engine call failed: {kind:?}, status {status:?}")]
pub struct EngineError {
    kind: EngineErrorKind,
    status: Option<u16>,
}

impl EngineError {
    /// Creates an error of `kind`.
    pub fn new(kind: EngineErrorKind) -> Self {
        Self { kind, status: None }
    }

    /// Sets the HTTP status of the engine's answer.
    pub fn status(mut self, status: u16) -> Self {
        self.status = Some(status);
        self
    }

    /// Returns the kind of the failure.
    pub fn kind(&self) -> EngineErrorKind {
        self.kind
    }

    /// Returns the HTTP status of the engine's answer, if the engine answered.
    pub fn get_status(&self) -> Option<u16> {
        self.status
    }

    /// Returns the outcome of an attempt that failed with this error.
    pub fn outcome(&self) -> AttemptOutcome {
        match self.kind {
            EngineErrorKind::NotSent => AttemptOutcome::NotSent,
            EngineErrorKind::Refused => AttemptOutcome::Refused,
            EngineErrorKind::Lost | EngineErrorKind::Malformed => AttemptOutcome::Lost,
            EngineErrorKind::Failed => AttemptOutcome::Failed,
        }
    }
}

//! Error answers of the operators' interface.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::resources::ResourceError;
use crate::resources::ResourceRecord;
use crate::types::ExecutionCertainty;

/// Groups the errors by what an operator can do about them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ApiErrorCode {
    /// The stored version was changed since the operator read it, or it cannot be read.
    Conflict,
    /// Other resources refer to the resource, so it cannot be deleted.
    InUse,
    /// The request or the resource is invalid.
    Invalid,
    /// The path does not support the HTTP method.
    MethodNotAllowed,
    /// The resource, request or path does not exist.
    NotFound,
    /// The store is unreachable, so nothing was changed.
    StoreUnavailable,
    /// The store did not answer, so the write may have taken effect.
    StoreUnknown,
    /// The body is too large.
    TooLarge,
    /// The token is missing or wrong.
    Unauthorized,
}

impl ApiErrorCode {
    /// Returns the HTTP status code of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::Invalid => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::Conflict | Self::InUse => 409,
            Self::TooLarge => 413,
            Self::StoreUnavailable | Self::StoreUnknown => 503,
        }
    }
}

/// Describes why a request of an operator failed, and whether it took effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ErrorDetail {
    /// Group of the error.
    pub code: ApiErrorCode,
    /// Message that states what was given, what is allowed and the next step.
    pub message: Arc<str>,
    /// Whether the change took effect.
    pub executed: ExecutionCertainty,
    /// Faults of the resource; empty if the error is not about its fields.
    #[serde(default)]
    pub faults: Vec<ResourceError>,
    /// After a conflict, the version that the operator tried to write.
    #[serde(default)]
    pub given: Option<Box<ResourceRecord>>,
    /// After a conflict, the version that the store holds; `None` if it was deleted.
    #[serde(default)]
    pub current: Option<Box<ResourceRecord>>,
}

impl ErrorDetail {
    /// Creates an error of a request that changed nothing.
    pub fn new(code: ApiErrorCode, message: impl Into<Arc<str>>) -> Self {
        Self {
            code,
            message: message.into(),
            executed: ExecutionCertainty::No,
            faults: Vec::new(),
            given: None,
            current: None,
        }
    }

    /// Sets whether the change took effect.
    pub fn executed(mut self, executed: impl Into<ExecutionCertainty>) -> Self {
        self.executed = executed.into();
        self
    }

    /// Sets the faults of the resource.
    pub fn faults(mut self, faults: impl Into<Vec<ResourceError>>) -> Self {
        self.faults = faults.into();
        self
    }

    /// Sets the version that the operator tried to write.
    pub fn given(mut self, given: impl Into<Option<ResourceRecord>>) -> Self {
        self.given = given.into().map(Box::new);
        self
    }

    /// Sets the version that the store holds.
    pub fn current(mut self, current: impl Into<Option<ResourceRecord>>) -> Self {
        self.current = current.into().map(Box::new);
        self
    }
}

/// Wraps an error as the body of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ErrorAnswer {
    /// Description of the error.
    pub error: ErrorDetail,
}

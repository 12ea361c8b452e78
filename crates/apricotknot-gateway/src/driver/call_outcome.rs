//! How a call ended.

use super::CallFault;

/// Describes how a call ended, for the log and the metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CallOutcome {
    /// An endpoint's answer was forwarded completely.
    Answered,
    /// The gateway answered with an error of its own.
    Fault(CallFault),
    /// The answer ended early after a part of it was forwarded.
    Truncated,
    /// The caller closed its connection.
    CallerDisconnected,
}

impl CallOutcome {
    /// Returns the name used in metrics and logs.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Fault(fault) => fault.name(),
            Self::Truncated => "cut",
            Self::CallerDisconnected => "caller_gone",
        }
    }

    /// Returns the message of the error that the gateway answered with, if it did.
    pub(super) fn cause(&self) -> Option<String> {
        match self {
            Self::Fault(fault) => Some(fault.to_string()),
            Self::Answered | Self::Truncated | Self::CallerDisconnected => None,
        }
    }
}

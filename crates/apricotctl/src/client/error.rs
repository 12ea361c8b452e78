//! Failures of calls and what they mean for the operator.

use std::io;

use apricotknot_core::operators::ApiErrorCode;
use apricotknot_core::operators::ErrorDetail;
use apricotknot_core::resources::ResourceError;
use apricotknot_core::types::ExecutionCertainty;
use plotters::drawing::DrawingAreaErrorKind;
use thiserror::Error;

/// Exit status after a refusal that changed nothing.
const REFUSED_STATUS: u8 = 1;

/// Exit status after wrong usage, as the argument parser gives it too.
const USAGE_STATUS: u8 = 2;

/// Exit status after a conflict.
const CONFLICT_STATUS: u8 = 3;

/// Exit status where the change may have been made.
const UNKNOWN_STATUS: u8 = 4;

/// Exit status where no node could be reached.
const UNREACHABLE_STATUS: u8 = 5;

/// Reports why a command failed.
#[derive(Debug, Error)]
pub(crate) enum ClientError {
    /// A file cannot be read.
    #[error("cannot read {path}: {source}; give a JSON file, or - for standard input")]
    File {
        /// Path.
        path: String,
        /// What the system reported.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[error("cannot write {path}: {source}")]
    Output {
        /// Path.
        path: String,
        /// What the system reported.
        source: std::io::Error,
    },
    /// A file holds a resource with a fault.
    #[error("{path}: {fault}")]
    Resource {
        /// Path.
        path: String,
        /// Fault.
        fault: ResourceError,
    },
    /// No node could be reached, so nothing was changed.
    #[error("no node could be reached, and nothing was changed:\n{attempts}\ncheck --server")]
    Unreachable {
        /// Each address with its reason.
        attempts: String,
    },
    /// The connection broke after the request was sent.
    #[error("lost the connection to {address}: {reason}; read the resource before you repeat it")]
    Lost {
        /// Address.
        address: String,
        /// What was reported.
        reason: String,
    },
    /// The answer cannot be read.
    #[error("cannot read the answer of {address}: {reason}; is it an apricotknot node?")]
    Answer {
        /// Address.
        address: String,
        /// What was wrong.
        reason: String,
    },
    /// The node refused.
    #[error("{}", describe(.0))]
    Refused(Box<ErrorDetail>),
    /// Some of several steps failed.
    #[error("{failed} of {total} resources were not applied")]
    Partial {
        /// Resources that were not applied.
        failed: usize,
        /// Resources in the file.
        total: usize,
        /// Exit status of the gravest failure.
        status: u8,
    },
    /// A value cannot be shown.
    #[error("cannot show the answer: {0}")]
    Format(#[from] serde_json::Error),
    /// A plot cannot be drawn.
    #[error("cannot draw a plot: {0}")]
    Plot(#[from] DrawingAreaErrorKind<io::Error>),
}

impl ClientError {
    /// Returns the exit status.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Resource { .. } => USAGE_STATUS,
            Self::Unreachable { .. } => UNREACHABLE_STATUS,
            Self::Lost { .. } | Self::Answer { .. } => UNKNOWN_STATUS,
            Self::Refused(detail) => match (detail.executed, detail.code) {
                (ExecutionCertainty::Unknown, _) => UNKNOWN_STATUS,
                (_, ApiErrorCode::Conflict) => CONFLICT_STATUS,
                _ => REFUSED_STATUS,
            },
            Self::Partial { status, .. } => *status,
            Self::Output { .. } | Self::Format(_) | Self::Plot(_) => REFUSED_STATUS,
        }
    }
}

fn describe(detail: &ErrorDetail) -> String {
    let mut text = detail.message.to_string();
    let versions = [("given", &detail.given), ("current", &detail.current)];
    for (name, record) in versions {
        if let Some(record) = record {
            let json = serde_json::to_string(record).unwrap_or_default();
            text.push_str(&format!("\n  {name}: {json}"));
        }
    }
    let executed = match detail.executed {
        ExecutionCertainty::No => "nothing was changed",
        ExecutionCertainty::Unknown => "the change may have been made",
        ExecutionCertainty::Yes => "the change was made",
    };
    text.push_str(&format!("\n  {executed}"));
    text
}

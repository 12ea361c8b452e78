//! Errors of commands, and the exit status of each.

use std::io;

use apricotknot_core::operators::ApiErrorCode;
use apricotknot_core::operators::ErrorDetail;
use apricotknot_core::resources::ResourceError;
use apricotknot_core::types::ExecutionCertainty;
use plotters::drawing::DrawingAreaErrorKind;
use thiserror::Error;

use crate::log_trace::LogError;

/// Exit status when the node refused the command and nothing was changed.
const REFUSED_STATUS: u8 = 1;

/// Exit status for wrong usage, the same as that of the argument parser.
const USAGE_STATUS: u8 = 2;

/// Exit status when another operator changed the resource first.
const CONFLICT_STATUS: u8 = 3;

/// Exit status when it is unknown whether the change was made.
const UNKNOWN_STATUS: u8 = 4;

/// Exit status when no node was reachable.
const UNREACHABLE_STATUS: u8 = 5;

/// Reports why a command failed.
#[derive(Debug, Error)]
pub(crate) enum ClientError {
    /// A file cannot be read.
    #[error("cannot read {path}: {source}; give a JSON file, or - for standard input")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[error("cannot write {path}: {source}")]
    Output {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Logs cannot be searched.
    #[error("{0}")]
    Logs(#[from] LogError),
    /// A file holds an invalid resource.
    #[error("{path}: {fault}")]
    Resource {
        /// Path of the file.
        path: String,
        /// Error of the first invalid field.
        fault: ResourceError,
    },
    /// No node was reachable, so nothing was changed.
    #[error("no node could be reached, and nothing was changed:\n{attempts}\ncheck --server")]
    Unreachable {
        /// Addresses that were tried, each with the reason of its failure.
        attempts: String,
    },
    /// The connection was lost after the request may have been sent.
    #[error("lost the connection to {address}: {reason}; read the resource before you repeat it")]
    Lost {
        /// Address of the node.
        address: String,
        /// Error of the connection.
        reason: String,
    },
    /// The answer cannot be parsed.
    #[error("cannot read the answer of {address}: {reason}; is it an apricotknot node?")]
    Answer {
        /// Address of the node.
        address: String,
        /// Error of the parser.
        reason: String,
    },
    /// The node refused the call.
    #[error("{}", describe(.0))]
    Refused(Box<ErrorDetail>),
    /// Some resources of a file were not applied.
    #[error("{failed} of {total} resources were not applied")]
    Partial {
        /// Resources that were not applied.
        failed: usize,
        /// Resources in the file.
        total: usize,
        /// Highest exit status among the failures.
        status: u8,
    },
    /// A value cannot be written as JSON.
    #[error("cannot show the answer: {0}")]
    Format(#[from] serde_json::Error),
    /// A plot cannot be drawn.
    #[error("cannot draw a plot: {0}")]
    Plot(#[from] DrawingAreaErrorKind<io::Error>),
}

impl ClientError {
    /// Returns the exit status of the command.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Logs(_) | Self::Resource { .. } => USAGE_STATUS,
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

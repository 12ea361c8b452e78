//! Outcome of an attempt, and what it implies for whether the request ran.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran, as far as this system can know.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ExecutionCertainty {
    /// No endpoint began to run the request.
    No,
    /// An endpoint may have begun to run the request.
    Unknown,
    /// An endpoint ran the request.
    Yes,
}

impl ExecutionCertainty {
    /// Returns the name that answers, metrics and logs use.
    pub fn name(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

impl fmt::Display for ExecutionCertainty {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// How an attempt on one endpoint ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Answered,
    /// The endpoint refused the request before it began to run it.
    Refused,
    /// The connection could not be established, so nothing was sent.
    NotSent,
    /// The connection broke after sending began; whether the endpoint ran the request is unknown.
    Lost,
    /// The endpoint reported a failure of its own after it began to run the request.
    Failed,
    /// The caller disconnected, and the endpoint confirmed that it stopped.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns whether the request ran, given this outcome.
    pub fn certainty(self) -> ExecutionCertainty {
        match self {
            Self::Answered | Self::Failed | Self::Cancelled => ExecutionCertainty::Yes,
            Self::Refused | Self::NotSent => ExecutionCertainty::No,
            Self::Lost => ExecutionCertainty::Unknown,
        }
    }
}

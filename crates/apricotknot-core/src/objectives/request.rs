//! A finished request, as the objectives count it.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::outcome::CallerErrorKind;
use crate::types::AccountId;
use crate::types::DataCentreId;
use crate::types::EndpointId;
use crate::types::LengthClass;
use crate::types::ServiceId;

/// Names the reason for which a request counts as bad.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BudgetFault {
    /// The endpoint reported a failure.
    Failed,
    /// The connection to the endpoint broke.
    Lost,
    /// The request was refused for lack of capacity.
    Refused,
    /// The mean time between tokens exceeded the objective.
    SlowBetweenTokens,
    /// The time to first token exceeded the objective.
    SlowFirstToken,
    /// The request did not finish before its deadline.
    TimedOut,
}

impl BudgetFault {
    /// Returns the fault that corresponds to the kind of a caller's error.
    ///
    /// Returns `None` if the caller or the limits of its account caused the error.
    pub fn from_error_kind(kind: CallerErrorKind) -> Option<Self> {
        match kind {
            CallerErrorKind::DeadlineExceeded => Some(Self::TimedOut),
            CallerErrorKind::EndpointFailed => Some(Self::Failed),
            CallerErrorKind::EndpointLost | CallerErrorKind::StreamBroken => Some(Self::Lost),
            CallerErrorKind::LedgerFull
            | CallerErrorKind::LedgerUnavailable
            | CallerErrorKind::NoEndpoint
            | CallerErrorKind::NodeStopping
            | CallerErrorKind::Overloaded => Some(Self::Refused),
            _ => None,
        }
    }

    /// Returns the name that reports use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::Refused => "refused",
            Self::SlowBetweenTokens => "slow-between-tokens",
            Self::SlowFirstToken => "slow-first-token",
            Self::TimedOut => "timed-out",
        }
    }
}

impl fmt::Display for BudgetFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Describes a finished request; a request that its caller abandoned is not counted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedRequest {
    /// Service that received the request.
    pub service: ServiceId,
    /// Length class of the prompt.
    pub class: LengthClass,
    /// Account of the caller.
    pub account: AccountId,
    /// Endpoint of the last attempt, if there was one.
    pub endpoint: Option<EndpointId>,
    /// Data centre of that endpoint.
    pub data_centre: Option<DataCentreId>,
    /// Time from arrival to the first token, if there was one.
    pub first_token: Option<Duration>,
    /// Mean time between tokens, if there were two or more.
    pub between_tokens: Option<Duration>,
    /// Fault other than slowness, if the request failed.
    pub fault: Option<BudgetFault>,
}

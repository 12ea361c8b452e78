//! What the objectives need to know of a request that has ended.

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

/// Says what made a request count as bad.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BudgetFault {
    /// An endpoint failed after it began.
    Failed,
    /// The connection to an endpoint broke.
    Lost,
    /// The request was refused for want of capacity.
    Refused,
    /// The mean time between tokens was too long.
    SlowBetweenTokens,
    /// The first token came too late.
    SlowFirstToken,
    /// The request did not end within its deadline.
    TimedOut,
}

impl BudgetFault {
    /// Returns the fault that a caller's error stands for; none where the caller or its account's
    /// own limits caused it.
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

    /// Returns the name used in reports.
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

/// Describes a request that has ended; one that its caller gave up is not counted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedRequest {
    /// Service.
    pub service: ServiceId,
    /// Length class of the prompt.
    pub class: LengthClass,
    /// Account of the caller.
    pub account: AccountId,
    /// Endpoint of the last attempt, if there was one.
    pub endpoint: Option<EndpointId>,
    /// Data centre of that endpoint.
    pub data_centre: Option<DataCentreId>,
    /// Time from arrival to the first token, if one came.
    pub first_token: Option<Duration>,
    /// Mean time between tokens, if there were two or more.
    pub between_tokens: Option<Duration>,
    /// What went wrong, other than slowness.
    pub fault: Option<BudgetFault>,
}

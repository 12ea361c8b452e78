//! What the decision on a request rests on, for logs and metrics.

use std::time::Duration;

use super::PlacementDecision;

/// Names what keeps a request from being sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitCause {
    /// All endpoints have asked for a backoff.
    Backoff,
    /// The request rates of all endpoints are used up.
    Rate,
    /// No endpoint, alone or with helpers, has the slots and the memory.
    Room,
    /// The engine time costs more than the request gains.
    Price,
    /// Other requests that wait go first.
    Turn,
    /// No plan is on time now, but one may be later; or it would be late and delay others.
    Timeliness,
}

impl WaitCause {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Backoff => "backoff",
            Self::Rate => "rate",
            Self::Room => "room",
            Self::Price => "price",
            Self::Turn => "turn",
            Self::Timeliness => "timeliness",
        }
    }
}

/// Holds what a decision weighed.
///
/// Values and prices are in units of one very short request; they are zero where no plan was scored.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementEvidence {
    /// What keeps the request from being sent; `None` if it is sent, or no endpoint may ever run it.
    pub cause: Option<WaitCause>,
    /// Value that the best plan gains, less the value that other requests lose.
    pub net_value: f64,
    /// Price of the engine time of that plan.
    pub price: f64,
    /// Mean utilization of the engines that may run the request, from 0 to 1.
    pub utilization: f64,
    /// Number of requests that wait at any node and go first.
    pub rank: usize,
}

impl PlacementEvidence {
    /// Returns `decision` with this evidence and the cause of a wait or a refusal.
    pub(super) fn verdict(
        self,
        decision: PlacementDecision,
        cause: Option<WaitCause>,
    ) -> PlacementVerdict {
        PlacementVerdict { decision, evidence: Self { cause, ..self } }
    }
}

/// A decision with what it rests on.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementVerdict {
    /// What becomes of the request.
    pub decision: PlacementDecision,
    /// What was weighed.
    pub evidence: PlacementEvidence,
}

impl PlacementVerdict {
    /// Creates the refusal of a request that no endpoint may ever run.
    pub(super) fn refusal(reason: &'static str, retry_after: Duration) -> Self {
        let decision = PlacementDecision::Refuse { reason, retry_after };
        Self { decision, evidence: PlacementEvidence::default() }
    }

    /// Creates the verdict on a request without a scored plan, which `cause` keeps from being sent.
    pub fn held(decision: PlacementDecision, cause: WaitCause) -> Self {
        PlacementEvidence::default().verdict(decision, Some(cause))
    }
}

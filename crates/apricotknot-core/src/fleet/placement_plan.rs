//! Plan of where a request runs, and the decision on a request.

use std::time::Duration;

use crate::types::EndpointId;
use crate::types::TokenCount;

/// Describes the work of one helper: an endpoint that prefills a part of the prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HelperPart {
    /// Endpoint that is the helper.
    pub endpoint: EndpointId,
    /// Memory that it holds for the request, in tokens; zero if it only prefills.
    pub memory: TokenCount,
}

/// Describes where a request runs.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPlan {
    /// Endpoint that runs the request.
    pub endpoint: EndpointId,
    /// Memory that this endpoint holds for the request, in tokens.
    pub memory: TokenCount,
    /// Endpoints that prefill the other parts of the prompt.
    pub helpers: Vec<HelperPart>,
    /// Time that the runner and each helper prefill; zero for plain services.
    pub prefill_time: Duration,
    /// Expected time from the decision until the answer begins; zero for plain services.
    pub expected_start: Duration,
}

/// Decision on a request at one point in time.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
    /// The request is sent according to the plan.
    Send(PlacementPlan),
    /// The request waits until endpoints have room for it.
    Wait,
    /// The request is refused.
    Refuse {
        /// Reason that is reported to the caller.
        reason: &'static str,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

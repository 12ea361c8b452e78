//! Endpoint that is considered for a request.

use std::time::Duration;

use super::choice_costs::ChoiceCosts;
use super::endpoint_load::EndpointLoad;
use crate::types::EndpointId;
use crate::types::TokenCount;

/// An endpoint that may run a request or be its helper.
#[derive(Clone, Debug)]
pub(super) struct PlacementCandidate {
    pub(super) endpoint: EndpointId,
    pub(super) slots: u32,
    pub(super) free_memory: TokenCount,
    /// Fraction of recent attempts that failed, from 0 to 1.
    pub(super) failure_rate: f64,
    /// How many times longer than expected the endpoint takes to begin an answer.
    pub(super) slowdown: f64,
    /// Whether the endpoint may prefill parts of prompts that others run.
    pub(super) may_help: bool,
    /// Time until all prefills in progress at the endpoint are done.
    pub(super) backlog: Duration,
    /// Time until its prefills as a helper are done.
    pub(super) helper_backlog: Duration,
    /// Costs that make nodes choose differently among nearly equal endpoints.
    pub(super) choice_costs: ChoiceCosts,
    pub(super) load: EndpointLoad,
}

//! State that all calls of one traffic thread share.

use std::sync::Arc;
use std::time::Duration;

use actix_http::ServiceConfig;
use apricotknot_core::types::NodeId;
use slog::Logger;

use crate::GatewayMetrics;
use crate::clock::BootClock;
use crate::control::ControlHandle;
use crate::control::SharedState;
use crate::endpoint::AnswerBudget;

/// Holds the state and the handles that all calls of one traffic thread share.
#[derive(Clone)]
pub struct TrafficContext<P> {
    /// Name of the node.
    pub node: NodeId,
    /// Longest time for which endpoints keep memory that no request uses.
    pub reserved_idle_time: Duration,
    /// Whether the requests of each account are counted.
    pub counts_usage: bool,
    /// Translator of the headers of callers and endpoints.
    pub protocol: P,
    /// Settings of the HTTP codec.
    pub http: ServiceConfig,
    /// State that the control thread publishes.
    pub shared: Arc<SharedState>,
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// Clock of the node.
    pub clock: BootClock,
    /// Memory that the answers which the node holds may occupy.
    pub answer_budget: Arc<AnswerBudget>,
    /// Metrics of the node.
    pub metrics: Arc<GatewayMetrics>,
    /// Logger of the node.
    pub logger: Logger,
}

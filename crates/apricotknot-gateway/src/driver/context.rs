//! What all calls of one traffic thread share.

use std::sync::Arc;

use actix_http::ServiceConfig;
use slog::Logger;

use crate::GatewayMetrics;
use crate::clock::BootClock;
use crate::control::ControlHandle;
use crate::control::SharedState;

/// Holds what the calls of one traffic thread share.
#[derive(Clone)]
pub struct TrafficContext<P> {
    /// Translates the headers of callers and endpoints.
    pub protocol: P,
    /// Settings of the HTTP library.
    pub http: ServiceConfig,
    /// What the control thread publishes.
    pub shared: Arc<SharedState>,
    /// The control thread.
    pub control: ControlHandle,
    /// Clock.
    pub clock: BootClock,
    /// Metrics.
    pub metrics: Arc<GatewayMetrics>,
    /// Log.
    pub logger: Logger,
}

//! Count of the calls that a stopping node waits for.

use std::sync::atomic::AtomicI64;

use prometheus_client::metrics::gauge::Gauge;

use crate::GatewayMetrics;

/// Counts a call as open until it is dropped, also if its task ends early.
pub(super) struct OpenCall {
    open_calls: Gauge<i64, AtomicI64>,
}

impl OpenCall {
    pub(super) fn begin(metrics: &GatewayMetrics) -> Self {
        metrics.open_calls.inc();
        Self { open_calls: metrics.open_calls.clone() }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.open_calls.dec();
    }
}

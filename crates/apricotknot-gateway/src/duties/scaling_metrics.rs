//! Metrics of the endpoints that are ordered.

use std::sync::atomic::AtomicI64;

use apricotknot_core::scaling::ScalingStatus;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Labels of one service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ServiceLabels {
    service: String,
}

/// Number of endpoints of each service.
type EndpointGauge = Family<ServiceLabels, Gauge<i64, AtomicI64>>;

/// Shows how many endpoints services need and have; all clones share the values.
#[derive(Clone, Debug, Default)]
pub struct ScalingMetrics {
    wanted: EndpointGauge,
    present: EndpointGauge,
    ordered: EndpointGauge,
}

impl ScalingMetrics {
    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register("endpoints_wanted", "Endpoints that the load needs", self.wanted.clone());
        registry.register("endpoints_present", "Endpoints that exist", self.present.clone());
        registry.register("endpoints_ordered", "Endpoints on their way", self.ordered.clone());
    }

    /// Sets the values of a service.
    pub(super) fn set(&self, service: &str, status: &ScalingStatus) {
        let labels = ServiceLabels { service: service.to_owned() };
        self.wanted.get_or_create(&labels).set(i64::from(status.wanted));
        self.present.get_or_create(&labels).set(i64::from(status.present));
        self.ordered.get_or_create(&labels).set(i64::from(status.ordered));
    }
}

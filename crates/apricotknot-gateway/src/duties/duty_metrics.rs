//! Metrics of duties.

use std::sync::atomic::AtomicI64;

use apricotknot_core::duty::DutyKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::ScalingMetrics;

/// Label of a duty.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct DutyLabels {
    /// Name of the duty.
    pub duty: &'static str,
}

/// Counts what happens to the duties of one node; all clones share the numbers.
#[derive(Clone, Debug, Default)]
pub struct DutyMetrics {
    held: Family<DutyLabels, Gauge<i64, AtomicI64>>,
    terms: Family<DutyLabels, Counter>,
    refusals: Family<DutyLabels, Counter>,
    failed_calls: Family<DutyLabels, Counter>,
    /// Endpoints that are ordered.
    pub(super) scaling: ScalingMetrics,
}

impl DutyMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("duty_held", "Whether this node holds the duty", self.held.clone());
        registry.register("duty_terms", "Terms that this node took", self.terms.clone());
        registry.register(
            "duty_refusals",
            "Calls that were refused for their fencing number",
            self.refusals.clone(),
        );
        registry.register(
            "duty_failed_calls",
            "Calls of the platform without an answer",
            self.failed_calls.clone(),
        );
        self.scaling.register(registry);
    }

    /// Records whether this node holds a duty.
    pub fn set_held(&self, kind: DutyKind, is_held: bool) {
        self.held.get_or_create(&labels(kind)).set(i64::from(is_held));
    }
}

impl DutyMetrics {
    /// Returns the counter of terms of this node.
    pub fn terms(&self, kind: DutyKind) -> Counter {
        self.terms.get_or_create(&labels(kind)).clone()
    }

    /// Returns the counter of calls that were refused for their fencing number.
    pub fn refusals(&self, kind: DutyKind) -> Counter {
        self.refusals.get_or_create(&labels(kind)).clone()
    }

    /// Returns the counter of calls without an answer; they may have been carried out.
    pub fn failed_calls(&self, kind: DutyKind) -> Counter {
        self.failed_calls.get_or_create(&labels(kind)).clone()
    }
}

fn labels(kind: DutyKind) -> DutyLabels {
    DutyLabels { duty: kind.name() }
}

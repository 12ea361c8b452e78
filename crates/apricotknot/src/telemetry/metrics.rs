//! Metrics of a node in the OpenMetrics format.

use std::sync::atomic::AtomicI64;

use apricotknot_gateway::intake::IntakeMetrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::store::CallBudget;

/// Upper bound of the first bucket of time histograms, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;

/// Ratio between the upper bounds of neighbouring buckets.
const BUCKET_FACTOR: f64 = 2.0;

/// Number of buckets of time histograms.
const BUCKET_COUNT: u16 = 20;

/// Labels of a finished request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// Stable code of the request's outcome.
    pub outcome: &'static str,
    /// Whether the request ran.
    pub executed: &'static str,
}

/// Labels of a time measured for one length class.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ClassLabels {
    /// Name of the length class.
    pub class: &'static str,
}

/// Labels of the operations of the ledger of non-repeatable calls on the key-value service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct LedgerLabels {
    /// Operation: `read`, `write`, `conflict`, or `record` for each record written.
    pub kind: &'static str,
}

/// Holds all metrics of a node; can be shared between threads.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    /// Number of requests that ended, by outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from arrival to first token, in seconds, by length class.
    pub first_token: Family<ClassLabels, Histogram>,
    /// Number of requests that are open.
    pub open_requests: Gauge<i64, AtomicI64>,
    /// Revision of the configuration in force.
    pub revision: Gauge<i64, AtomicI64>,
    /// Number of operations of the ledger of non-repeatable calls.
    pub ledger: Family<LedgerLabels, Counter>,
    /// Number of non-repeatable calls that wait for their intents to be written.
    pub ledger_pending: Gauge<i64, AtomicI64>,
    /// Clients of all interfaces that were refused or had to give way.
    pub intake: IntakeMetrics,
}

impl NodeMetrics {
    /// Creates metrics with all values at zero.
    pub fn new() -> Self {
        let requests = Family::default();
        let first_token = Family::new_with_constructor(new_time_histogram as fn() -> Histogram);
        let open_requests = Gauge::default();
        let revision = Gauge::default();
        let mut registry = Registry::with_prefix("apricotknot");
        registry.register("requests", "Requests that ended", requests.clone());
        registry.register("first_token_seconds", "Time to first token", first_token.clone());
        registry.register("open_requests", "Requests that are open", open_requests.clone());
        registry.register("configuration_revision", "Revision in force", revision.clone());
        let ledger = Family::default();
        let ledger_pending = Gauge::default();
        registry.register("ledger_store", "Store calls and records of the ledger", ledger.clone());
        registry.register("ledger_pending", "One-time calls pending", ledger_pending.clone());
        let intake = IntakeMetrics::default();
        let (gave_way, refused) = (intake.gave_way.clone(), intake.refused.clone());
        registry.register("intake_gave_way", "Connections closed for others", gave_way);
        registry.register("intake_refused", "Requests without memory", refused);
        Self {
            registry,
            requests,
            first_token,
            open_requests,
            revision,
            ledger,
            ledger_pending,
            intake,
        }
    }

    /// Registers the counters of calls of the key-value service.
    pub fn store(mut self, budget: &CallBudget) -> Self {
        let registry = &mut self.registry;
        registry.register("store_calls", "Store calls sent", budget.calls().clone());
        registry.register("store_failures", "Store calls failed", budget.failures().clone());
        registry.register("store_refused", "Store calls over budget", budget.refused().clone());
        self
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn new_time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT))
}

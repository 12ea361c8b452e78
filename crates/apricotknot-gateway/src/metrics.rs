//! Prometheus metrics of a gateway node.

use std::sync::atomic::AtomicI64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::duties::DutyMetrics;
use crate::intake::IntakeMetrics;

/// Upper bound of the smallest bucket of duration histograms, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.005;

/// Ratio between the upper bounds of neighbouring buckets.
const BUCKET_FACTOR: f64 = 2.0;

/// Number of buckets of duration histograms.
const BUCKET_COUNT: u16 = 13;

/// Labels of a call or an attempt that has ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CallLabels {
    /// Kind of the call, as its route states it.
    pub kind: &'static str,
    /// Name of the outcome.
    pub outcome: &'static str,
}

/// Labels of a decision on the placement of a call.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PlacementLabels {
    /// Kind of the call, as its route states it.
    pub kind: &'static str,
    /// Whether the call was `placed` or `refused`.
    pub outcome: &'static str,
    /// What the call waited for last, or `nothing`.
    pub waited_for: &'static str,
}

/// Holds all metrics of a node; can be shared between threads.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Calls that have ended, by kind and outcome.
    pub calls: Family<CallLabels, Counter>,
    /// Attempts at endpoints that have ended, by kind of call and outcome.
    pub attempts: Family<CallLabels, Counter>,
    /// Decisions on the placement of calls, by kind of call, outcome and what they waited for.
    pub placements: Family<PlacementLabels, Counter>,
    /// Time from the arrival of a call to the start of its answer, in seconds.
    pub answer_begin: Histogram,
    /// Calls that are in progress.
    pub open_calls: Gauge<i64, AtomicI64>,
    /// Connections to endpoints that are relayed for other nodes.
    pub open_relays: Gauge<i64, AtomicI64>,
    /// Attempts that other nodes relayed for this one.
    pub relayed_attempts: Counter,
    /// Requests that were counted for the usage reports.
    pub counted_requests: Counter,
    /// Requests that became known to this node after the report on their window.
    pub late_usage: Counter,
    /// Usage reports of this node that were accepted.
    pub usage_reports: Counter,
    /// Duties of this node.
    pub duties: DutyMetrics,
    /// Clients of all interfaces that were refused or had to give way.
    pub intake: IntakeMetrics,
}

impl GatewayMetrics {
    /// Creates metrics that are all zero.
    pub fn new() -> Self {
        let calls = Family::default();
        let attempts = Family::default();
        let placements = Family::default();
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT);
        let answer_begin = Histogram::new(buckets);
        let open_calls = Gauge::default();
        let open_relays = Gauge::default();
        let relayed_attempts = Counter::default();
        let counted_requests = Counter::default();
        let late_usage = Counter::default();
        let usage_reports = Counter::default();
        let mut registry = Registry::with_prefix("apricotknot_gateway");
        registry.register("calls", "Calls that ended", calls.clone());
        registry.register("attempts", "Attempts that ended", attempts.clone());
        registry.register("placements", "Placements decided", placements.clone());
        registry.register("answer_begin_seconds", "Time to the answer", answer_begin.clone());
        registry.register("open_calls", "Calls that are open", open_calls.clone());
        registry.register("open_relays", "Connections relayed for peers", open_relays.clone());
        registry.register("relayed_attempts", "Attempts through peers", relayed_attempts.clone());
        registry.register("counted_requests", "Requests counted", counted_requests.clone());
        registry.register("late_usage", "Requests in no usage report", late_usage.clone());
        registry.register("usage_reports", "Usage reports accepted", usage_reports.clone());
        let duties = DutyMetrics::default();
        duties.register(&mut registry);
        let intake = IntakeMetrics::default();
        let (gave_way, refused) = (intake.gave_way.clone(), intake.refused.clone());
        registry.register("intake_gave_way", "Connections closed for others", gave_way);
        registry.register("intake_refused", "Requests without memory", refused);
        Self {
            registry,
            calls,
            attempts,
            placements,
            answer_begin,
            open_calls,
            open_relays,
            relayed_attempts,
            counted_requests,
            late_usage,
            usage_reports,
            duties,
            intake,
        }
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

//! Snapshots of the counts of one node, in the form in which nodes send them.

use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use super::ContributorCount;
use super::RequestCount;
use crate::resources::ServiceObjective;
use crate::types::LengthClass;
use crate::types::NodeId;
use crate::types::ServiceId;

/// Maximum value of a histogram, in milliseconds; larger values are recorded as this one.
const MAX_LATENCY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Significant decimal digits of the values of a histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Holds a histogram as pairs of a value and its count, which can be serialized and merged.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistogramSnapshot(Vec<(u64, u64)>);

impl HistogramSnapshot {
    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        let mut merged = self.to_histogram();
        for (value, count) in &other.0 {
            merged.saturating_record_n(*value, *count);
        }
        *self = Self::from(&merged);
    }

    /// Returns the number of recorded values.
    pub fn count(&self) -> u64 {
        self.0.iter().map(|(_, count)| count).sum()
    }

    /// Returns the value at a percentile from 0 to 100; `None` if no value was recorded.
    pub fn percentile(&self, percentile: f64) -> Option<u64> {
        let histogram = self.to_histogram();
        (!histogram.is_empty()).then(|| histogram.value_at_percentile(percentile))
    }

    fn to_histogram(&self) -> Histogram<u64> {
        let mut histogram = new_histogram();
        for (value, count) in &self.0 {
            histogram.saturating_record_n(*value, *count);
        }
        histogram
    }
}

impl From<&Histogram<u64>> for HistogramSnapshot {
    fn from(histogram: &Histogram<u64>) -> Self {
        let recorded = histogram.iter_recorded();
        Self(recorded.map(|step| (step.value_iterated_to(), step.count_at_value())).collect())
    }
}

/// Creates an empty histogram of milliseconds.
pub(super) fn new_histogram() -> Histogram<u64> {
    let bounded = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
    bounded.unwrap_or_else(|_| {
        unreachable!("the bounds of the histogram are constants that hdrhistogram accepts")
    })
}

/// Holds the counts of one node for one service and length class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SeriesSnapshot {
    /// Service that received the requests.
    pub service: ServiceId,
    /// Length class of the prompts.
    pub class: LengthClass,
    /// Objective that the node currently applies, if one is configured.
    pub objective: Option<ServiceObjective>,
    /// Number of requests since the node started.
    pub since_start: RequestCount,
    /// Slots of each window, oldest first; the windows are in the order of `BurnWindow::ALL`.
    pub windows: Vec<Vec<RequestCount>>,
    /// Times to first token since the node started, in milliseconds.
    pub first_token: HistogramSnapshot,
    /// Mean times between tokens since the node started, in milliseconds.
    pub between_tokens: HistogramSnapshot,
    /// Contributors with the most bad requests.
    pub contributors: Vec<ContributorCount>,
}

/// Holds the counts of one node since it started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnSnapshot {
    /// Node that counted.
    pub node: NodeId,
    /// Time since the node started, in milliseconds; a restart discards earlier counts.
    pub uptime_ms: u64,
    /// Counts by service and length class.
    pub series: Vec<SeriesSnapshot>,
}

/// Holds the result of a request to a node for its counts.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeResponse {
    /// The node answered.
    Reached(BurnSnapshot),
    /// The node did not answer.
    Missing {
        /// Name of the node, or its address if the name is unknown.
        node: Arc<str>,
        /// Reason for which it did not answer.
        reason: Arc<str>,
    },
}

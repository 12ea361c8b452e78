//! What one node reports of its objectives.

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

/// Largest value that a histogram tells apart, in milliseconds.
const MAX_LATENCY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Significant digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Holds a histogram in a form that can be sent and merged: values and their counts.
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

    /// Returns the number of values.
    pub fn count(&self) -> u64 {
        self.0.iter().map(|(_, count)| count).sum()
    }

    /// Returns the value at a percentile from 0 to 100, or none where there are no values.
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
    bounded.unwrap_or_else(|_| unreachable!("the bounds are constants that the library takes"))
}

/// Holds what one node counted for one service and length class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SeriesSnapshot {
    /// Service.
    pub service: ServiceId,
    /// Length class.
    pub class: LengthClass,
    /// Objective in force on the node, if one is stated.
    pub objective: Option<ServiceObjective>,
    /// Requests since the node started.
    pub since_start: RequestCount,
    /// Slots by window, oldest first, in the order of `BurnWindow::ALL`.
    pub windows: Vec<Vec<RequestCount>>,
    /// Times to first token since the node started, in milliseconds.
    pub first_token: HistogramSnapshot,
    /// Mean times between tokens since the node started, in milliseconds.
    pub between_tokens: HistogramSnapshot,
    /// Who and what used the budget.
    pub contributors: Vec<ContributorCount>,
}

/// Holds what one node counted since it started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnSnapshot {
    /// Node.
    pub node: NodeId,
    /// Time since the node started, in milliseconds; counts of an earlier life are gone.
    pub uptime_ms: u64,
    /// Counts by service and length class.
    pub series: Vec<SeriesSnapshot>,
}

/// Holds what a node answered when it was asked for its counts.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeResponse {
    /// The node answered.
    Reached(BurnSnapshot),
    /// The node did not answer.
    Missing {
        /// Node or its address.
        node: Arc<str>,
        /// Why it did not answer.
        reason: Arc<str>,
    },
}

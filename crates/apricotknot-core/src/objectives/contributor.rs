//! Contributors to the error budget: the accounts, endpoints, data centres and faults behind bad
//! requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::BurnWindow;
use super::WindowCounter;
use crate::types::MonotonicTime;

/// Maximum number of contributors that are kept for each dimension.
const MAX_CONTRIBUTORS: usize = 64;

/// Maximum number of contributors that a snapshot holds for each dimension.
const MAX_REPORTED_CONTRIBUTORS: usize = 10;

/// Names a dimension by which bad requests are grouped.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BudgetDimension {
    /// Client account of the caller.
    Account,
    /// Data centre of the endpoint.
    DataCentre,
    /// Endpoint of the last attempt.
    Endpoint,
    /// Fault that made the request bad.
    Fault,
}

impl BudgetDimension {
    /// All dimensions, in the order in which they are reported.
    pub const ALL: [Self; 4] = [Self::Account, Self::DataCentre, Self::Endpoint, Self::Fault];

    /// Returns the name that reports use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Account => "account",
            Self::DataCentre => "data-centre",
            Self::Endpoint => "endpoint",
            Self::Fault => "fault",
        }
    }
}

/// Holds the number of bad requests of one contributor.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ContributorCount {
    /// Dimension of the contributor.
    pub dimension: BudgetDimension,
    /// Name of the account, data centre, endpoint or fault.
    pub name: Arc<str>,
    /// Bad requests by window, in the order of [`BurnWindow::ALL`].
    pub bad: Vec<u64>,
}

/// Counts the bad requests of contributors, a bounded number of them for each dimension.
#[derive(Clone, Debug, Default)]
pub(super) struct ContributorTable {
    counters: BTreeMap<(BudgetDimension, Arc<str>), WindowCounter>,
}

impl ContributorTable {
    /// Counts one bad request of a contributor at `now`.
    pub(super) fn count(&mut self, dimension: BudgetDimension, name: Arc<str>, now: MonotonicTime) {
        let key = (dimension, name);
        if !self.counters.contains_key(&key) {
            self.evict_smallest(dimension, now);
        }
        self.counters.entry(key).or_default().count(false, now);
    }

    /// Evicts the contributor with the fewest bad requests over three days if a dimension is full.
    fn evict_smallest(&mut self, dimension: BudgetDimension, now: MonotonicTime) {
        let kept = self.counters.iter().filter(|((other, _), _)| *other == dimension);
        let kept: Vec<_> = kept.collect();
        if kept.len() < MAX_CONTRIBUTORS {
            return;
        }
        let bad = |counter: &WindowCounter| counter.total(BurnWindow::ThreeDays, now).bad;
        let least = kept.into_iter().min_by_key(|(_, counter)| bad(counter));
        if let Some(key) = least.map(|(key, _)| key.clone()) {
            self.counters.remove(&key);
        }
    }

    /// Returns the contributors with the most bad requests over three days, by dimension.
    pub(super) fn top_contributors(&self, now: MonotonicTime) -> Vec<ContributorCount> {
        let mut contributors = Vec::new();
        for dimension in BudgetDimension::ALL {
            let counters = self.counters.iter().filter(|((other, _), _)| *other == dimension);
            let mut found: Vec<_> = counters
                .map(|((_, name), counter)| ContributorCount {
                    dimension,
                    name: name.clone(),
                    bad: BurnWindow::ALL.map(|window| counter.total(window, now).bad).to_vec(),
                })
                .collect();
            found.sort_by(|left, right| right.bad.last().cmp(&left.bad.last()));
            found.truncate(MAX_REPORTED_CONTRIBUTORS);
            contributors.extend(found);
        }
        contributors
    }
}

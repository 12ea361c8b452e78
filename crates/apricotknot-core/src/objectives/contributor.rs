//! Who and what used the error budget.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::BurnWindow;
use super::WindowCounter;
use crate::types::MonotonicTime;

/// Contributors kept for each dimension.
const MAX_CONTRIBUTORS: usize = 64;

/// Contributors told for each dimension.
const MAX_REPORTED_CONTRIBUTORS: usize = 10;

/// Says by what the bad requests are divided.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BudgetDimension {
    /// By client account.
    Account,
    /// By data centre of the endpoint.
    DataCentre,
    /// By endpoint.
    Endpoint,
    /// By what went wrong.
    Fault,
}

impl BudgetDimension {
    /// All dimensions.
    pub const ALL: [Self; 4] = [Self::Account, Self::DataCentre, Self::Endpoint, Self::Fault];

    /// Returns the name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Account => "account",
            Self::DataCentre => "data-centre",
            Self::Endpoint => "endpoint",
            Self::Fault => "fault",
        }
    }
}

/// Says how many bad requests one contributor had.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ContributorCount {
    /// Dimension.
    pub dimension: BudgetDimension,
    /// Name of the account, data centre, endpoint or fault.
    pub name: Arc<str>,
    /// Bad requests by window, in the order of [`BurnWindow::ALL`].
    pub bad: Vec<u64>,
}

/// Keeps the contributors with bad requests, a bounded number of each dimension.
#[derive(Clone, Debug, Default)]
pub(super) struct ContributorTable {
    counters: BTreeMap<(BudgetDimension, Arc<str>), WindowCounter>,
}

impl ContributorTable {
    // Commands.

    pub(super) fn count(&mut self, dimension: BudgetDimension, name: Arc<str>, now: MonotonicTime) {
        let key = (dimension, name);
        if !self.counters.contains_key(&key) {
            self.evict_smallest(dimension, now);
        }
        self.counters.entry(key).or_default().count(false, now);
    }

    /// Forgets the contributor with the fewest bad requests where there are too many.
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

    // Queries.

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

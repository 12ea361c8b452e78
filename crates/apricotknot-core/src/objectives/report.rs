//! Joins the readings of all nodes into one report.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::BudgetDimension;
use super::BurnSnapshot;
use super::BurnWindow;
use super::HistogramSnapshot;
use super::NodeResponse;
use super::RequestCount;
use super::SLOTS_PER_WINDOW;
use super::SeriesSnapshot;
use crate::resources::ServiceObjective;
use crate::types::LengthClass;
use crate::types::ServiceId;

/// Burn over an hour and over five minutes at which an operator is called at once.
const FAST_BURN_RATE: f64 = 14.4;

/// Burn over three days and over six hours at which an operator should look.
const SLOW_BURN_RATE: f64 = 1.0;

/// Contributors told for each series and dimension.
const MAX_REPORTED_SHARES: usize = 5;

/// Warns that the error budget burns too fast.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BurnAlert {
    /// Burns 14.4 times too fast, over an hour and still over five minutes.
    FastBurn,
    /// Burns too fast, over three days and still over six hours.
    SlowBurn,
}

impl BurnAlert {
    /// Returns the name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::FastBurn => "fast burn",
            Self::SlowBurn => "slow burn",
        }
    }
}

/// Says what the report knows of one node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeCoverage {
    /// Node, or the address of one that did not answer.
    pub node: Arc<str>,
    /// Time since the node started, in milliseconds; none where it did not answer.
    pub uptime_ms: Option<u64>,
    /// Why the node did not answer.
    pub missing: Option<Arc<str>>,
    /// Windows that the node covers in part only, because its counts began within them.
    pub partial: Vec<BurnWindow>,
}

/// Tells the burn of one series over one window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WindowReport {
    /// Window.
    pub window: BurnWindow,
    /// Requests.
    pub count: RequestCount,
    /// Rate at which the budget burns, 1 for just all of it by the end of the period; none where
    /// there were no requests or no objective is stated.
    pub burn: Option<f64>,
    /// Requests by slot, oldest first.
    pub slots: Vec<RequestCount>,
}

/// Tells the part of the bad requests that one contributor had, over three days.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ContributorShare {
    /// Dimension.
    pub dimension: BudgetDimension,
    /// Name.
    pub name: Arc<str>,
    /// Bad requests.
    pub bad: u64,
    /// Part of all bad requests, in per mille.
    pub permille: u64,
}

/// Tells the burn of one service and length class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SeriesReport {
    /// Service.
    pub service: ServiceId,
    /// Length class.
    pub class: LengthClass,
    /// Objective, if one is stated.
    pub objective: Option<ServiceObjective>,
    /// Burn by window.
    pub windows: Vec<WindowReport>,
    /// Warnings.
    pub alerts: Vec<BurnAlert>,
    /// Times to first token, in milliseconds.
    pub first_token: HistogramSnapshot,
    /// Mean times between tokens, in milliseconds.
    pub between_tokens: HistogramSnapshot,
    /// Who and what used the budget.
    pub contributors: Vec<ContributorShare>,
}

/// Tells the burn of all services over all nodes that answered.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BurnReport {
    /// Nodes asked.
    pub nodes: Vec<NodeCoverage>,
    /// Burn by service and length class.
    pub series: Vec<SeriesReport>,
}

#[derive(Default)]
struct MergedSeries {
    objective: Option<ServiceObjective>,
    windows: [Vec<RequestCount>; BurnWindow::ALL.len()],
    first_token: HistogramSnapshot,
    between_tokens: HistogramSnapshot,
    contributors: BTreeMap<(BudgetDimension, Arc<str>), u64>,
}

impl BurnReport {
    /// Joins the readings of the nodes.
    pub fn merge(responses: &[NodeResponse]) -> Self {
        let mut merged: BTreeMap<(ServiceId, LengthClass), MergedSeries> = BTreeMap::new();
        for response in responses {
            let NodeResponse::Reached(burn) = response else {
                continue;
            };
            for series in &burn.series {
                let key = (series.service.clone(), series.class);
                merged.entry(key).or_default().add(series);
            }
        }
        let series =
            merged.into_iter().map(|((service, class), merged)| merged.report(service, class));
        Self { nodes: responses.iter().map(coverage_of).collect(), series: series.collect() }
    }

    /// Returns the nodes that did not answer.
    pub fn missing(&self) -> impl Iterator<Item = &NodeCoverage> {
        self.nodes.iter().filter(|node| node.missing.is_some())
    }
}

impl MergedSeries {
    fn add(&mut self, series: &SeriesSnapshot) {
        if self.objective.is_none() {
            self.objective.clone_from(&series.objective);
        }
        for (merged, slots) in self.windows.iter_mut().zip(&series.windows) {
            merged.resize(SLOTS_PER_WINDOW, RequestCount::default());
            merged.iter_mut().zip(slots).for_each(|(merged, slot)| merged.add(*slot));
        }
        self.first_token.merge(&series.first_token);
        self.between_tokens.merge(&series.between_tokens);
        for contributor in &series.contributors {
            let key = (contributor.dimension, contributor.name.clone());
            let bad = contributor.bad.last().copied().unwrap_or_default();
            *self.contributors.entry(key).or_default() += bad;
        }
    }

    fn report(self, service: ServiceId, class: LengthClass) -> SeriesReport {
        let objective = self.objective;
        let windows = BurnWindow::ALL.into_iter().zip(self.windows);
        let windows: Vec<_> = windows
            .map(|(window, slots)| report_window(window, slots, objective.as_ref()))
            .collect();
        SeriesReport {
            service,
            class,
            alerts: alerts_of(&windows),
            contributors: shares_of(&self.contributors, &windows),
            objective,
            windows,
            first_token: self.first_token,
            between_tokens: self.between_tokens,
        }
    }
}

/// Returns the rate at which the budget of an objective burns; none where nothing was counted.
fn burn_rate(count: RequestCount, objective: &ServiceObjective) -> Option<f64> {
    let allowed = 1_000_u32.saturating_sub(objective.good_permille);
    if count.total() == 0 || allowed == 0 {
        return None;
    }
    let bad_part = count.bad as f64 / count.total() as f64;
    Some(bad_part * 1_000.0 / f64::from(allowed))
}

fn report_window(
    window: BurnWindow,
    slots: Vec<RequestCount>,
    objective: Option<&ServiceObjective>,
) -> WindowReport {
    let mut count = RequestCount::default();
    slots.iter().for_each(|slot| count.add(*slot));
    let burn = objective.and_then(|objective| burn_rate(count, objective));
    WindowReport { window, count, burn, slots }
}

fn alerts_of(windows: &[WindowReport]) -> Vec<BurnAlert> {
    let reaches = |window, limit| {
        let found = windows.iter().find(|report| report.window == window);
        found.and_then(|report| report.burn).is_some_and(|burn| burn >= limit)
    };
    let is_fast = reaches(BurnWindow::OneHour, FAST_BURN_RATE)
        && reaches(BurnWindow::FiveMinutes, FAST_BURN_RATE);
    let is_slow = reaches(BurnWindow::ThreeDays, SLOW_BURN_RATE)
        && reaches(BurnWindow::SixHours, SLOW_BURN_RATE);
    let fast = is_fast.then_some(BurnAlert::FastBurn);
    fast.into_iter().chain(is_slow.then_some(BurnAlert::SlowBurn)).collect()
}

fn shares_of(
    contributors: &BTreeMap<(BudgetDimension, Arc<str>), u64>,
    windows: &[WindowReport],
) -> Vec<ContributorShare> {
    let all = windows.last().map_or(0, |report| report.count.bad);
    let mut shares = Vec::new();
    for dimension in BudgetDimension::ALL {
        let found =
            contributors.iter().filter(|((other, _), bad)| *other == dimension && **bad > 0);
        let mut found: Vec<_> = found.collect();
        found.sort_by(|left, right| right.1.cmp(left.1));
        shares.extend(found.into_iter().take(MAX_REPORTED_SHARES).map(|((_, name), bad)| {
            ContributorShare {
                dimension,
                name: name.clone(),
                bad: *bad,
                permille: (bad * 1_000).checked_div(all).unwrap_or_default(),
            }
        }));
    }
    shares
}

fn coverage_of(response: &NodeResponse) -> NodeCoverage {
    match response {
        NodeResponse::Reached(burn) => NodeCoverage {
            node: burn.node.clone(),
            uptime_ms: Some(burn.uptime_ms),
            missing: None,
            partial: partial_windows(burn),
        },
        NodeResponse::Missing { node, reason } => NodeCoverage {
            node: node.clone(),
            uptime_ms: None,
            missing: Some(reason.clone()),
            partial: Vec::new(),
        },
    }
}

fn partial_windows(burn: &BurnSnapshot) -> Vec<BurnWindow> {
    let uptime = Duration::from_millis(burn.uptime_ms);
    BurnWindow::ALL.into_iter().filter(|window| window.length() > uptime).collect()
}

impl WindowReport {
    /// Returns the burn of each slot, oldest first; none where nothing was counted.
    pub fn slot_burn_rates(&self, objective: &ServiceObjective) -> Vec<Option<f64>> {
        self.slots.iter().map(|slot| burn_rate(*slot, objective)).collect()
    }
}

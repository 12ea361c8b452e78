//! Merges the snapshots of all nodes into one report.

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

/// Burn rate over one hour and over five minutes at which an operator must act immediately.
const FAST_BURN_RATE: f64 = 14.4;

/// Burn rate over three days and over six hours at which an operator should investigate.
const SLOW_BURN_RATE: f64 = 1.0;

/// Maximum number of contributors that are reported for each series and dimension.
const MAX_REPORTED_SHARES: usize = 5;

/// Names an alert: the error budget burns too fast.
///
/// Each alert needs a long window, which shows that the burn matters, and a short one, which shows
/// that it still continues.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BurnAlert {
    /// The budget burns at 14.4 times the allowed rate over one hour and over five minutes.
    FastBurn,
    /// The budget burns at or above the allowed rate over three days and over six hours.
    SlowBurn,
}

impl BurnAlert {
    /// Returns the name that reports use.
    pub fn name(self) -> &'static str {
        match self {
            Self::FastBurn => "fast burn",
            Self::SlowBurn => "slow burn",
        }
    }
}

/// Describes how far the report covers one node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeCoverage {
    /// Name of the node, or its address if it did not answer and the name is unknown.
    pub node: Arc<str>,
    /// Time since the node started, in milliseconds; `None` if it did not answer.
    pub uptime_ms: Option<u64>,
    /// Reason for which the node did not answer; `None` if it did.
    pub missing: Option<Arc<str>>,
    /// Windows that the node covers only in part, because it started within them.
    pub partial: Vec<BurnWindow>,
}

/// Reports the burn rate of one series over one window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WindowReport {
    /// Window of the counts.
    pub window: BurnWindow,
    /// Requests within the window.
    pub count: RequestCount,
    /// Burn rate of the error budget; 1 uses the whole budget by the end of the period.
    ///
    /// `None` if there were no requests or no objective is configured.
    pub burn: Option<f64>,
    /// Requests of each slot, oldest first.
    pub slots: Vec<RequestCount>,
}

/// Reports the share of one contributor in the bad requests over three days.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ContributorShare {
    /// Dimension of the contributor.
    pub dimension: BudgetDimension,
    /// Name of the account, data centre, endpoint or fault.
    pub name: Arc<str>,
    /// Bad requests of the contributor.
    pub bad: u64,
    /// Share of all bad requests, in per mille.
    pub permille: u64,
}

/// Reports the burn rates of one service and length class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SeriesReport {
    /// Service that received the requests.
    pub service: ServiceId,
    /// Length class of the prompts.
    pub class: LengthClass,
    /// Objective, if one is configured.
    pub objective: Option<ServiceObjective>,
    /// Burn rate over each window, shortest first.
    pub windows: Vec<WindowReport>,
    /// Alerts that the burn rates raise.
    pub alerts: Vec<BurnAlert>,
    /// Times to first token since the nodes started, in milliseconds.
    pub first_token: HistogramSnapshot,
    /// Mean times between tokens since the nodes started, in milliseconds.
    pub between_tokens: HistogramSnapshot,
    /// Contributors with the most bad requests, by dimension.
    pub contributors: Vec<ContributorShare>,
}

/// Reports the burn rates of all services, over all nodes that answered.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BurnReport {
    /// Nodes that were queried, including those that did not answer.
    pub nodes: Vec<NodeCoverage>,
    /// Reports by service and length class.
    pub series: Vec<SeriesReport>,
}

/// Accumulates the counts of one service and length class over the nodes.
#[derive(Default)]
struct MergedSeries {
    objective: Option<ServiceObjective>,
    windows: [Vec<RequestCount>; BurnWindow::ALL.len()],
    first_token: HistogramSnapshot,
    between_tokens: HistogramSnapshot,
    contributors: BTreeMap<(BudgetDimension, Arc<str>), u64>,
}

impl BurnReport {
    /// Merges the responses of the nodes.
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

/// Returns the bad fraction of `count` divided by the fraction that the objective allows.
///
/// Returns `None` if nothing was counted or the objective allows no bad requests.
fn burn_rate(count: RequestCount, objective: &ServiceObjective) -> Option<f64> {
    let allowed = 1_000_u32.saturating_sub(objective.good_permille);
    if count.total() == 0 || allowed == 0 {
        return None;
    }
    let bad_fraction = count.bad as f64 / count.total() as f64;
    Some(bad_fraction * 1_000.0 / f64::from(allowed))
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
    /// Returns the burn rate of each slot, oldest first; `None` if nothing was counted in a slot.
    pub fn slot_burn_rates(&self, objective: &ServiceObjective) -> Vec<Option<f64>> {
        self.slots.iter().map(|slot| burn_rate(*slot, objective)).collect()
    }
}

//! Counts the requests of one node against the service-level objectives.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::BudgetDimension;
use super::BudgetFault;
use super::BurnSnapshot;
use super::BurnWindow;
use super::FinishedRequest;
use super::HistogramSnapshot;
use super::RequestCount;
use super::SeriesSnapshot;
use super::WindowCounter;
use super::contributor::ContributorTable;
use super::snapshot::new_histogram;
use crate::resources::ResourceSnapshot;
use crate::resources::ServiceObjective;
use crate::types::LengthClass;
use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::ServiceId;

/// Counts the finished requests of a node as good or bad, by service and length class.
#[derive(Clone, Debug)]
pub struct ObjectiveTracker {
    node: NodeId,
    started: MonotonicTime,
    objectives: BTreeMap<(ServiceId, LengthClass), ServiceObjective>,
    series: BTreeMap<(ServiceId, LengthClass), RequestSeries>,
}

/// Holds the counts of one service and length class.
#[derive(Clone, Debug)]
struct RequestSeries {
    since_start: RequestCount,
    windows: WindowCounter,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    contributors: ContributorTable,
}

impl RequestSeries {
    fn new() -> Self {
        Self {
            since_start: RequestCount::default(),
            windows: WindowCounter::default(),
            first_token: new_histogram(),
            between_tokens: new_histogram(),
            contributors: ContributorTable::default(),
        }
    }
}

impl ObjectiveTracker {
    /// Creates a tracker without objectives for a node that started at `started`.
    pub fn new(node: impl Into<NodeId>, started: MonotonicTime) -> Self {
        let (objectives, series) = (BTreeMap::new(), BTreeMap::new());
        Self { node: node.into(), started, objectives, series }
    }

    /// Applies the objectives of `snapshot`, and discards the counts of services that it lacks.
    pub fn configure(&mut self, snapshot: &ResourceSnapshot) {
        self.objectives.clear();
        for (service, spec) in snapshot.services() {
            for objective in &spec.objectives {
                let key = (service.clone(), objective.class);
                self.objectives.insert(key, objective.clone());
            }
        }
        self.series.retain(|(service, _), _| snapshot.service(service).is_some());
    }

    /// Counts a request that finished at `now`, and returns the fault that makes it bad, if any.
    pub fn record_request(
        &mut self,
        request: &FinishedRequest,
        now: MonotonicTime,
    ) -> Option<BudgetFault> {
        let key = (request.service.clone(), request.class);
        let fault = classify_request(request, self.objectives.get(&key));
        let series = self.series.entry(key).or_insert_with(RequestSeries::new);
        let one =
            RequestCount { good: u64::from(fault.is_none()), bad: u64::from(fault.is_some()) };
        series.since_start.add(one);
        series.windows.count(fault.is_none(), now);
        record_duration(&mut series.first_token, request.first_token);
        record_duration(&mut series.between_tokens, request.between_tokens);
        if let Some(fault) = fault {
            for (dimension, name) in contributors_of(request, fault) {
                series.contributors.count(dimension, name, now);
            }
        }
        fault
    }

    /// Returns the counts; the windows end at `now`.
    pub fn snapshot(&self, now: MonotonicTime) -> BurnSnapshot {
        let uptime = now.saturating_sub(self.started).as_millis();
        let series = self.series.iter().map(|((service, class), series)| SeriesSnapshot {
            service: service.clone(),
            class: *class,
            objective: self.objectives.get(&(service.clone(), *class)).cloned(),
            since_start: series.since_start,
            windows: BurnWindow::ALL.map(|window| series.windows.slots(window, now)).to_vec(),
            first_token: HistogramSnapshot::from(&series.first_token),
            between_tokens: HistogramSnapshot::from(&series.between_tokens),
            contributors: series.contributors.top_contributors(now),
        });
        BurnSnapshot {
            node: self.node.clone(),
            uptime_ms: u64::try_from(uptime).unwrap_or(u64::MAX),
            series: series.collect(),
        }
    }
}

/// Returns the fault that makes the request bad, if any; without an objective only failures do.
fn classify_request(
    request: &FinishedRequest,
    objective: Option<&ServiceObjective>,
) -> Option<BudgetFault> {
    if request.fault.is_some() {
        return request.fault;
    }
    let objective = objective?;
    let exceeds = |time: Option<Duration>, limit| {
        time.is_some_and(|time| time > Duration::from_millis(limit))
    };
    if exceeds(request.first_token, objective.first_token_ms) {
        return Some(BudgetFault::SlowFirstToken);
    }
    let is_slow = exceeds(request.between_tokens, objective.between_tokens_ms);
    is_slow.then_some(BudgetFault::SlowBetweenTokens)
}

/// Returns the contributors that a bad request counts against, by dimension.
fn contributors_of(
    request: &FinishedRequest,
    fault: BudgetFault,
) -> impl Iterator<Item = (BudgetDimension, Arc<str>)> {
    let account = (BudgetDimension::Account, request.account.clone());
    let fault = (BudgetDimension::Fault, Arc::from(fault.name()));
    let endpoint = request.endpoint.clone().map(|name| (BudgetDimension::Endpoint, name));
    let data_centre = request.data_centre.clone().map(|name| (BudgetDimension::DataCentre, name));
    [account, fault].into_iter().chain(endpoint).chain(data_centre)
}

/// Records a duration, if there is one, in whole milliseconds and at least 1.
fn record_duration(histogram: &mut Histogram<u64>, time: Option<Duration>) {
    if let Some(time) = time {
        histogram.saturating_record(u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1));
    }
}

//! Rests that endpoints ask for: for so long they want no requests from a node.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::FleetState;
use super::PlacementDecision;
use super::PlacementQuery;
use super::endpoint_state::EndpointState;
use crate::membership::hash_text;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Rest of an endpoint that asks for one which cannot be read.
const UNREADABLE_REST: Duration = Duration::from_secs(1);

/// Longest rest.
///
/// An endpoint that asks for more is tried again after it: the number may be a mistake.
const MAX_REST: Duration = Duration::from_secs(3_600);

/// Shortest time over which the callers of resting endpoints are spread when they come back.
const MIN_RETRY_SPREAD: Duration = Duration::from_millis(500);

/// Longest retry delay of callers of resting endpoints; others may have been started by then.
const MAX_RETRY: Duration = Duration::from_secs(10);

/// Maximum reports of rests in one load snapshot.
const MAX_REST_REPORTS: usize = 64;

/// States for how long an endpoint wants no requests from the node that it answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RestStatement {
    /// The answer asks for no rest.
    #[default]
    None,
    /// The answer asks for this rest.
    For(Duration),
    /// The answer asks for a rest that cannot be read.
    Unreadable,
}

/// Reports to another node that an endpoint wants no requests from it.
///
/// The node has relayed the request that the endpoint refused, without reading the answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RestReport {
    /// Node that the endpoint answered.
    pub node: NodeId,
    /// Endpoint that asks for rest.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint.
    pub incarnation: u64,
    /// Time until the end of the rest, in milliseconds.
    pub left_ms: u32,
}

/// Reports that an endpoint rests for longer than was known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RestChange {
    /// Endpoint that asks for rest.
    pub endpoint: EndpointId,
    /// Time from now until the end of the rest.
    pub rest: Duration,
    /// Whether the endpoint asks for something that cannot be read.
    pub is_unreadable: bool,
    /// Node that relayed the request, if one did.
    pub relayed_by: Option<NodeId>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct RestPeriod {
    incarnation: u64,
    until: MonotonicTime,
}

/// Holds the rests that have not ended; they outlive the registration of an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct RestTable {
    own: BTreeMap<EndpointId, RestPeriod>,
    /// Rests of other nodes, which relayed requests of this one.
    relayed: BTreeMap<(NodeId, EndpointId), RestPeriod>,
}

/// Extends the rest under `key`; returns whether that makes it longer.
fn extend<K: Ord>(
    periods: &mut BTreeMap<K, RestPeriod>,
    key: K,
    period: RestPeriod,
    now: MonotonicTime,
) -> bool {
    periods.retain(|_, known| known.until > now);
    let is_longer = periods
        .get(&key)
        .is_none_or(|known| known.incarnation != period.incarnation || known.until < period.until);
    if is_longer {
        periods.insert(key, period);
    }
    is_longer
}

impl FleetState {
    /// Records that an endpoint asks for rest; returns the change if it rests for longer now.
    ///
    /// A request that another node relayed binds that node as well.
    pub fn record_rest(
        &mut self,
        endpoint: &EndpointId,
        statement: RestStatement,
        relayed_by: Option<NodeId>,
        now: MonotonicTime,
    ) -> Option<RestChange> {
        let rest = match statement {
            RestStatement::None => return None,
            RestStatement::For(rest) => rest.min(MAX_REST),
            RestStatement::Unreadable => UNREADABLE_REST,
        };
        let incarnation = self.endpoints.get(endpoint)?.entry.incarnation;
        let period = RestPeriod { incarnation, until: now + rest };
        if let Some(node) = &relayed_by {
            let key = (Arc::clone(node), Arc::clone(endpoint));
            extend(&mut self.rests.relayed, key, period.clone(), now);
        }
        let is_longer = extend(&mut self.rests.own, Arc::clone(endpoint), period, now);
        (is_longer && !rest.is_zero()).then(|| RestChange {
            endpoint: Arc::clone(endpoint),
            rest,
            is_unreadable: statement == RestStatement::Unreadable,
            relayed_by,
        })
    }

    /// Applies what another node reports of endpoints that want no requests from this one.
    pub fn apply_rest_reports(&mut self, reports: Vec<RestReport>, now: MonotonicTime) {
        let own = NodeId::clone(self.node());
        for report in reports.into_iter().filter(|report| report.node == own) {
            let rest = Duration::from_millis(u64::from(report.left_ms)).min(MAX_REST);
            let period = RestPeriod { incarnation: report.incarnation, until: now + rest };
            extend(&mut self.rests.own, report.endpoint, period, now);
        }
    }
}

impl FleetState {
    /// Returns the time until which an endpoint wants no requests from this node, if it does.
    pub(super) fn rest_end(
        &self,
        state: &EndpointState,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let period = self.rests.own.get(&state.entry.id)?;
        (period.incarnation == state.entry.incarnation && period.until > now)
            .then_some(period.until)
    }

    /// Returns the rests that other nodes are told of.
    pub fn rest_reports(&self, now: MonotonicTime) -> Vec<RestReport> {
        let relayed = self.rests.relayed.iter().filter(|(_, period)| period.until > now);
        let reports = relayed.map(|((node, endpoint), period)| RestReport {
            node: Arc::clone(node),
            endpoint: Arc::clone(endpoint),
            incarnation: period.incarnation,
            left_ms: u32::try_from((period.until - now).as_millis()).unwrap_or(u32::MAX),
        });
        reports.take(MAX_REST_REPORTS).collect()
    }

    /// Decides on a request all of whose endpoints rest; `None` if one of them does not.
    ///
    /// It waits if a rest ends while the answer can still be on time. Otherwise it is refused at
    /// once, and refused callers come back over a span of time.
    pub(super) fn decide_by_rest(
        &self,
        eligible: &[&EndpointState],
        query: &PlacementQuery,
        now: MonotonicTime,
    ) -> Option<PlacementDecision> {
        let ends: Option<Vec<MonotonicTime>> =
            eligible.iter().map(|state| self.rest_end(state, now)).collect();
        let end = ends?.into_iter().min()?;
        if end < query.arrived + query.target_latency {
            return Some(PlacementDecision::Wait);
        }
        let rest = end - now;
        let hash = hash_text(self.jitter_seed, &format!("{:?}", query.arrived)) >> 32;
        let fraction = hash as f64 / f64::from(u32::MAX);
        let retry_after = rest + (rest / 2).max(MIN_RETRY_SPREAD).mul_f64(fraction);
        Some(PlacementDecision::Refuse {
            reason: "endpoints rest",
            retry_after: retry_after.min(MAX_RETRY),
        })
    }
}

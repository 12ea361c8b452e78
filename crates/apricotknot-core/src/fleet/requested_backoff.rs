//! Backoffs that endpoints ask for: for so long they want no requests from a node.
//!
//! The node's own backoff after a failure is part of the endpoint's health; one that the endpoint asks
//! for is not, and no later success ends it.

use std::sync::Arc;
use std::time::Duration;

use super::BackoffReport;
use super::FleetState;
use super::PlacementDecision;
use super::PlacementQuery;
use super::backoff_table::BackoffPeriod;
use super::backoff_table::extend;
use super::endpoint_state::EndpointState;
use crate::membership::hash_text;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Backoff from an endpoint that asks for one which cannot be read.
const UNREADABLE_BACKOFF: Duration = Duration::from_secs(1);

/// Longest backoff.
///
/// An endpoint that asks for more is tried again after it: the number may be a mistake.
const MAX_REQUESTED_BACKOFF: Duration = Duration::from_secs(3_600);

/// Shortest time over which callers are spread that come back after a backoff.
const MIN_RETRY_SPREAD: Duration = Duration::from_millis(500);

/// Longest retry delay of callers; other endpoints may have been started by then.
const MAX_RETRY: Duration = Duration::from_secs(10);

/// Maximum reports of backoffs in one load snapshot.
const MAX_BACKOFF_REPORTS: usize = 64;

/// States for how long an endpoint wants no requests from the node that it answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BackoffStatement {
    /// The answer asks for no backoff.
    #[default]
    None,
    /// The answer asks for this backoff.
    For(Duration),
    /// The answer asks for a backoff that cannot be read.
    Unreadable,
}

/// Reports that an endpoint asks for a longer backoff than was known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackoffChange {
    /// Endpoint that asks for the backoff.
    pub endpoint: EndpointId,
    /// Time from now until the end of the backoff.
    pub length: Duration,
    /// Whether the endpoint asks for something that cannot be read.
    pub is_unreadable: bool,
    /// Node that relayed the request, if one did.
    pub relayed_by: Option<NodeId>,
}

impl FleetState {
    /// Records that an endpoint asks for a backoff; returns the change if it is longer than was known.
    ///
    /// A request that another node relayed binds that node as well.
    pub fn record_backoff_request(
        &mut self,
        endpoint: &EndpointId,
        statement: BackoffStatement,
        relayed_by: Option<NodeId>,
        now: MonotonicTime,
    ) -> Option<BackoffChange> {
        let length = match statement {
            BackoffStatement::None => return None,
            BackoffStatement::For(length) => length.min(MAX_REQUESTED_BACKOFF),
            BackoffStatement::Unreadable => UNREADABLE_BACKOFF,
        };
        let incarnation = self.endpoints.get(endpoint)?.entry.incarnation;
        let period = BackoffPeriod { incarnation, until: now + length };
        if let Some(node) = &relayed_by {
            let key = (Arc::clone(node), Arc::clone(endpoint));
            extend(&mut self.backoffs.relayed, key, period.clone(), now);
        }
        let is_longer = extend(&mut self.backoffs.own, Arc::clone(endpoint), period, now);
        (is_longer && !length.is_zero()).then(|| BackoffChange {
            endpoint: Arc::clone(endpoint),
            length,
            is_unreadable: statement == BackoffStatement::Unreadable,
            relayed_by,
        })
    }

    /// Applies what another node reports of endpoints that want no requests from this one.
    pub fn apply_backoff_reports(&mut self, reports: Vec<BackoffReport>, now: MonotonicTime) {
        let own = NodeId::clone(self.node());
        for report in reports.into_iter().filter(|report| report.node == own) {
            let left = Duration::from_millis(u64::from(report.left_ms)).min(MAX_REQUESTED_BACKOFF);
            let period = BackoffPeriod { incarnation: report.incarnation, until: now + left };
            extend(&mut self.backoffs.own, report.endpoint, period, now);
        }
    }
}

impl FleetState {
    /// Returns the time until which an endpoint wants no requests from this node, if it does.
    pub(super) fn backoff_end(
        &self,
        state: &EndpointState,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let period = self.backoffs.own.get(&state.entry.id)?;
        (period.incarnation == state.entry.incarnation && period.until > now)
            .then_some(period.until)
    }

    /// Returns the backoffs that other nodes are told of.
    pub fn backoff_reports(&self, now: MonotonicTime) -> Vec<BackoffReport> {
        let relayed = self.backoffs.relayed.iter().filter(|(_, period)| period.until > now);
        let reports = relayed.map(|((node, endpoint), period)| BackoffReport {
            node: Arc::clone(node),
            endpoint: Arc::clone(endpoint),
            incarnation: period.incarnation,
            left_ms: u32::try_from((period.until - now).as_millis()).unwrap_or(u32::MAX),
        });
        reports.take(MAX_BACKOFF_REPORTS).collect()
    }

    /// Decides on a request if all of its endpoints have asked for a backoff; `None` if one has not.
    ///
    /// It waits if a backoff ends while the answer can still be on time. Otherwise it is refused at
    /// once, and refused callers come back over a span of time.
    pub(super) fn decide_by_backoff(
        &self,
        eligible: &[&EndpointState],
        query: &PlacementQuery,
        now: MonotonicTime,
    ) -> Option<PlacementDecision> {
        let ends: Option<Vec<MonotonicTime>> =
            eligible.iter().map(|state| self.backoff_end(state, now)).collect();
        let end = ends?.into_iter().min()?;
        if end < query.arrived + query.target_latency {
            return Some(PlacementDecision::Wait);
        }
        let left = end - now;
        let hash = hash_text(self.jitter_seed, &format!("{:?}", query.arrived)) >> 32;
        let fraction = hash as f64 / f64::from(u32::MAX);
        let retry_after = left + (left / 2).max(MIN_RETRY_SPREAD).mul_f64(fraction);
        Some(PlacementDecision::Refuse {
            reason: "endpoints asked for a backoff",
            retry_after: retry_after.min(MAX_RETRY),
        })
    }
}

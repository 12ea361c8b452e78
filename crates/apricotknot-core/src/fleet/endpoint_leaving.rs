//! Endpoints whose answers say that they leave, maybe before their registration does.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::FleetState;
use super::endpoint_state::EndpointState;
use crate::types::EndpointId;
use crate::types::MonotonicTime;

/// Time for which an endpoint counts as leaving after it was last known to say so.
///
/// It covers the longest time that an endpoint may take to leave.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Time for which other nodes are told of it after an answer of the endpoint said so.
const REPORT_TIME: Duration = Duration::from_secs(30);

/// Maximum endpoints that are known to leave.
const MAX_LEAVING: usize = 4_096;

/// Maximum reports of leaving endpoints in one load snapshot.
const MAX_LEAVING_REPORTS: usize = 64;

/// Reports to other nodes that an endpoint leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingReport {
    /// Endpoint that leaves.
    pub endpoint: EndpointId,
    /// Incarnation that said so.
    pub incarnation: u64,
}

#[derive(Clone, Debug)]
struct LeavingMark {
    incarnation: u64,
    known_at: MonotonicTime,
    reported_until: MonotonicTime,
}

/// Holds the endpoints that leave; it outlives their registrations.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingTable {
    marks: BTreeMap<EndpointId, LeavingMark>,
}

impl LeavingTable {
    /// Adds or renews a mark; returns whether the endpoint was not known to leave.
    fn mark(&mut self, endpoint: EndpointId, mark: LeavingMark) -> bool {
        let now = mark.known_at;
        self.marks.retain(|_, known| now < known.known_at + LEAVING_RETENTION);
        let known = self.marks.get(&endpoint);
        if known.is_some_and(|known| known.incarnation > mark.incarnation) {
            return false;
        }
        let is_new = known.is_none_or(|known| known.incarnation != mark.incarnation);
        let told_until = known.map_or(mark.reported_until, |known| known.reported_until);
        if known.is_some() || self.marks.len() < MAX_LEAVING {
            let reported_until = mark.reported_until.max(told_until);
            self.marks.insert(endpoint, LeavingMark { reported_until, ..mark });
        }
        is_new
    }
}

impl FleetState {
    /// Records that an answer of an endpoint says that it leaves; returns whether that is new.
    pub fn record_leaving(&mut self, endpoint: &EndpointId, now: MonotonicTime) -> bool {
        let Some(state) = self.endpoints.get(endpoint) else {
            return false;
        };
        let incarnation = state.entry.incarnation;
        let reported_until = now + REPORT_TIME;
        let mark = LeavingMark { incarnation, known_at: now, reported_until };
        self.leaving.mark(Arc::clone(endpoint), mark)
    }

    /// Applies what another node reports of leaving endpoints; returns those that are new.
    pub fn apply_leaving_reports(
        &mut self,
        reports: Vec<LeavingReport>,
        now: MonotonicTime,
    ) -> Vec<EndpointId> {
        let new = reports.into_iter().filter_map(|report| {
            let mark = LeavingMark {
                incarnation: report.incarnation,
                known_at: now,
                reported_until: MonotonicTime::ZERO,
            };
            let endpoint = Arc::clone(&report.endpoint);
            self.leaving.mark(endpoint, mark).then_some(report.endpoint)
        });
        new.collect()
    }
}

impl FleetState {
    /// Returns whether an answer of this incarnation of an endpoint said that it leaves.
    pub fn is_leaving(&self, state: &EndpointState) -> bool {
        let mark = self.leaving.marks.get(&state.entry.id);
        mark.is_some_and(|mark| mark.incarnation == state.entry.incarnation)
    }

    /// Returns the leaving endpoints that other nodes are told of.
    pub fn leaving_reports(&self, now: MonotonicTime) -> Vec<LeavingReport> {
        let told = self.leaving.marks.iter().filter(|(_, mark)| now < mark.reported_until);
        let reports = told.map(|(endpoint, mark)| LeavingReport {
            endpoint: Arc::clone(endpoint),
            incarnation: mark.incarnation,
        });
        reports.take(MAX_LEAVING_REPORTS).collect()
    }
}

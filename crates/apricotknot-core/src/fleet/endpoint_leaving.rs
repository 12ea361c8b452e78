//! Endpoints whose answers say that they leave, maybe before their registration does.

use std::sync::Arc;
use std::time::Duration;

use super::FleetState;
use super::LeavingReport;
use super::endpoint_state::EndpointState;
use super::leaving_table::LeavingMark;
use crate::types::EndpointId;
use crate::types::MonotonicTime;

/// Time for which other nodes are told of it after an answer of the endpoint said so.
const REPORT_TIME: Duration = Duration::from_secs(30);

/// Maximum reports of leaving endpoints in one load snapshot.
const MAX_LEAVING_REPORTS: usize = 64;

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

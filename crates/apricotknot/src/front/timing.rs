//! How fast one request was answered, for the objectives.

use apricotknot_core::objectives::BudgetFault;
use apricotknot_core::objectives::FinishedRequest;
use apricotknot_core::outcome::FinalOutcome;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::RequestProfile;

/// Notes where the last attempt ran and when its chunks came.
#[derive(Clone, Debug)]
pub(super) struct AnswerTiming {
    arrived_at: MonotonicTime,
    endpoint: Option<EndpointId>,
    data_centre: Option<DataCentreId>,
    first_chunk_at: Option<MonotonicTime>,
    last_chunk_at: MonotonicTime,
    chunk_count: u32,
}

impl AnswerTiming {
    /// Creates the pace of a request that arrived at `arrived_at`.
    pub(super) fn new(arrived_at: MonotonicTime) -> Self {
        Self {
            arrived_at,
            endpoint: None,
            data_centre: None,
            first_chunk_at: None,
            last_chunk_at: arrived_at,
            chunk_count: 0,
        }
    }

    // Commands

    /// Notes the endpoint of an attempt.
    pub(super) fn record_endpoint(&mut self, endpoint: EndpointId, data_centre: DataCentreId) {
        self.endpoint = Some(endpoint);
        self.data_centre = Some(data_centre);
    }

    /// Notes that a chunk came.
    pub(super) fn record_chunk(&mut self, now: MonotonicTime) {
        self.first_chunk_at.get_or_insert(now);
        self.last_chunk_at = now;
        self.chunk_count = self.chunk_count.saturating_add(1);
    }

    // Queries

    /// Returns what the objectives count; none where the caller caused the end.
    pub(super) fn finished_request(
        &self,
        profile: &RequestProfile,
        outcome: &FinalOutcome,
    ) -> Option<FinishedRequest> {
        let fault = match &outcome.error {
            Some(error) => Some(BudgetFault::from_error_kind(error.kind())?),
            None => None,
        };
        let first_token = self.first_chunk_at.map(|first| first.saturating_sub(self.arrived_at));
        let stream_duration =
            self.first_chunk_at.map(|first| self.last_chunk_at.saturating_sub(first));
        let intervals = self.chunk_count.saturating_sub(1);
        Some(FinishedRequest {
            service: profile.service.clone(),
            class: profile.length_class(),
            account: profile.account.clone(),
            endpoint: self.endpoint.clone(),
            data_centre: self.data_centre.clone(),
            first_token,
            between_tokens: stream_duration
                .and_then(|stream_duration| stream_duration.checked_div(intervals)),
            fault,
        })
    }
}

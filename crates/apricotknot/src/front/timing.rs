//! Timing of the answer to one request, which the service objectives count.

use apricotknot_core::objectives::BudgetFault;
use apricotknot_core::objectives::FinishedRequest;
use apricotknot_core::outcome::FinalOutcome;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::RequestProfile;

/// Records where the last attempt ran and when the chunks of its answer arrived.
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
    /// Creates the timing of a request that arrived at `arrived_at`.
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

    /// Records the endpoint and the data centre of an attempt; a later attempt replaces them.
    pub(super) fn record_endpoint(&mut self, endpoint: EndpointId, data_centre: DataCentreId) {
        self.endpoint = Some(endpoint);
        self.data_centre = Some(data_centre);
    }

    /// Records the arrival of a chunk.
    pub(super) fn record_chunk(&mut self, now: MonotonicTime) {
        self.first_chunk_at.get_or_insert(now);
        self.last_chunk_at = now;
        self.chunk_count = self.chunk_count.saturating_add(1);
    }

    /// Returns the finished request for the service objectives; none if the caller caused its end.
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

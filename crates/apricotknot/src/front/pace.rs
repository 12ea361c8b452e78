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
pub(super) struct AnswerPace {
    arrived_at: MonotonicTime,
    endpoint: Option<EndpointId>,
    data_centre: Option<DataCentreId>,
    first_at: Option<MonotonicTime>,
    last_at: MonotonicTime,
    chunks: u32,
}

impl AnswerPace {
    /// Creates the pace of a request that arrived at `arrived_at`.
    pub(super) fn new(arrived_at: MonotonicTime) -> Self {
        Self {
            arrived_at,
            endpoint: None,
            data_centre: None,
            first_at: None,
            last_at: arrived_at,
            chunks: 0,
        }
    }

    // Commands

    /// Notes the endpoint of an attempt.
    pub(super) fn note_place(&mut self, endpoint: EndpointId, data_centre: DataCentreId) {
        self.endpoint = Some(endpoint);
        self.data_centre = Some(data_centre);
    }

    /// Notes that a chunk came.
    pub(super) fn note_chunk(&mut self, now: MonotonicTime) {
        self.first_at.get_or_insert(now);
        self.last_at = now;
        self.chunks = self.chunks.saturating_add(1);
    }

    // Queries

    /// Returns what the objectives count; none where the caller caused the end.
    pub(super) fn served(
        &self,
        profile: &RequestProfile,
        outcome: &FinalOutcome,
    ) -> Option<FinishedRequest> {
        let fault = match &outcome.error {
            Some(error) => Some(BudgetFault::from_error_kind(error.kind())?),
            None => None,
        };
        let first_token = self.first_at.map(|first| first.saturating_sub(self.arrived_at));
        let spread = self.first_at.map(|first| self.last_at.saturating_sub(first));
        let intervals = self.chunks.saturating_sub(1);
        Some(FinishedRequest {
            service: profile.service.clone(),
            class: profile.length_class(),
            account: profile.account.clone(),
            endpoint: self.endpoint.clone(),
            data_centre: self.data_centre.clone(),
            first_token,
            between_tokens: spread.and_then(|spread| spread.checked_div(intervals)),
            fault,
        })
    }
}

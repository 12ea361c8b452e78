//! Queue of the requests of one node that wait for an endpoint.

use std::time::Duration;

use apricotknot_core::fleet::FleetState;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::WaitCause;
use apricotknot_core::fleet::WaitSnapshot;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::ServiceId;
use apricotknot_core::types::TokenCount;
use tokio::sync::oneshot;

use super::EndpointGrant;
use super::PlacementRefusal;
use super::PlacementRequest;

/// Sends the answer to one placement request.
pub(super) type PlacementSender = oneshot::Sender<Result<EndpointGrant, PlacementRefusal>>;

/// Holds a request that waits for an endpoint, and the sender for its answer.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) request: Box<PlacementRequest>,
    pub(super) reply: PlacementSender,
    /// What kept the request from being sent when it was last tried.
    pub(super) waits_for: Option<WaitCause>,
}

impl WaitingRequest {
    /// Returns whether the request waits for a lower price of engine time, so that it takes nothing
    /// which others wait for.
    fn is_held_by_price(&self) -> bool {
        self.waits_for == Some(WaitCause::Price)
    }
}

/// Holds the waiting requests, in no particular order.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    requests: Vec<WaitingRequest>,
}

impl WaitQueue {
    /// Adds a request to the queue.
    pub(super) fn push(&mut self, waiting: WaitingRequest) {
        self.requests.push(waiting);
    }

    /// Removes and returns all requests whose callers still wait, in the order to try them.
    ///
    /// Requests within their target latency go first, then by age: placing a request first that is
    /// already late would only make the next one late too.
    pub(super) fn take_ordered(&mut self, now: MonotonicTime) -> Vec<WaitingRequest> {
        let mut waiting = std::mem::take(&mut self.requests);
        waiting.retain(|waiting| !waiting.reply.is_closed());
        waiting.sort_by_key(|waiting| {
            let query = &waiting.request.query;
            (now >= query.arrived + query.target_latency, query.arrived)
        });
        waiting
    }
}

impl WaitQueue {
    /// Returns the number of requests that wait.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Counts the requests that come before `query`: older ones that are no larger, and that the price
    /// of engine time does not hold.
    pub(super) fn count_before(&self, query: &PlacementQuery) -> usize {
        self.before(query).filter(|waiting| !waiting.is_held_by_price()).count()
    }

    /// Returns the sum of the prompts that come before `query` at the same endpoints, in tokens.
    pub(super) fn tokens_before(&self, query: &PlacementQuery) -> TokenCount {
        let same = self
            .before(query)
            .map(|waiting| &waiting.request.query)
            .filter(|other| other.service == query.service && other.regions == query.regions);
        same.fold(0, |sum, other| sum.saturating_add(other.size.prompt))
    }

    /// Returns the requests that are older than `query` and no larger.
    fn before(&self, query: &PlacementQuery) -> impl Iterator<Item = &WaitingRequest> {
        let (arrived, prompt) = (query.arrived, query.size.prompt);
        self.requests.iter().filter(move |waiting| {
            let other = &waiting.request.query;
            other.arrived < arrived && other.size.prompt <= prompt
        })
    }

    /// Counts the requests of `service` that wait.
    pub(super) fn count_for(&self, service: &ServiceId) -> usize {
        self.requests.iter().filter(|waiting| waiting.request.query.service == *service).count()
    }

    /// Returns the prompt of each request of `service` that waits, in tokens.
    pub(super) fn prompts_for(&self, service: &ServiceId) -> Vec<TokenCount> {
        let queries = self.requests.iter().map(|waiting| &waiting.request.query);
        queries.filter(|query| query.service == *service).map(|query| query.size.prompt).collect()
    }

    /// Returns the snapshots of waiting requests that are sent to other nodes, up to a limit.
    pub(super) fn snapshots(&self, now: MonotonicTime) -> Vec<WaitSnapshot> {
        self.reported().map(|waiting| wait_snapshot(&waiting.request.query, now)).collect()
    }

    /// Returns whether the price of engine time holds each request of [`Self::snapshots`], in their
    /// order.
    pub(super) fn price_waits(&self) -> Vec<bool> {
        self.reported().map(WaitingRequest::is_held_by_price).collect()
    }

    fn reported(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.requests.iter().take(FleetState::max_wait_snapshots())
    }
}

fn wait_snapshot(query: &PlacementQuery, now: MonotonicTime) -> WaitSnapshot {
    let age: Duration = now.saturating_sub(query.arrived);
    WaitSnapshot {
        prompt: u32::try_from(query.size.prompt).unwrap_or(u32::MAX),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}

//! Requests of one node that wait for an endpoint.

use std::time::Duration;

use apricotknot_core::fleet::FleetState;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::WaitSnapshot;
use apricotknot_core::types::MonotonicTime;
use tokio::sync::oneshot;

use super::EndpointGrant;
use super::PlacementRefusal;
use super::PlacementRequest;

/// Takes the answer to one request.
pub(super) type PlacementSender = oneshot::Sender<Result<EndpointGrant, PlacementRefusal>>;

/// Holds a request that waits for an endpoint.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) request: Box<PlacementRequest>,
    pub(super) reply: PlacementSender,
}

/// Holds the requests that wait.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    waiting: Vec<WaitingRequest>,
}

// Commands.
impl WaitQueue {
    /// Adds a request.
    pub(super) fn push(&mut self, waiting: WaitingRequest) {
        self.waiting.push(waiting);
    }

    /// Takes all requests whose callers are still there, those to be tried first in front.
    ///
    /// Those that can still be answered on time go first: one that waited for longer gains nothing
    /// by it, and would only make the next one late too.
    pub(super) fn take_all(&mut self, now: MonotonicTime) -> Vec<WaitingRequest> {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|waiting| !waiting.reply.is_closed());
        waiting.sort_by_key(|waiting| {
            let ask = &waiting.request.ask;
            (now >= ask.arrived + ask.target_latency, ask.arrived)
        });
        waiting
    }
}

// Queries.
impl WaitQueue {
    /// Returns whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Counts the requests that come before `ask`: older ones that are no larger.
    pub(super) fn count_before(&self, ask: &PlacementQuery) -> usize {
        let others = self.waiting.iter().map(|waiting| &waiting.request.ask);
        let before = others
            .filter(|other| other.arrived < ask.arrived && other.size.prompt <= ask.size.prompt);
        before.count()
    }

    /// Returns what other nodes are told of the requests.
    pub(super) fn news(&self, now: MonotonicTime) -> Vec<WaitSnapshot> {
        let told = self.waiting.iter().take(FleetState::max_wait_snapshots());
        told.map(|waiting| wait_news(&waiting.request.ask, now)).collect()
    }
}

fn wait_news(ask: &PlacementQuery, now: MonotonicTime) -> WaitSnapshot {
    let age: Duration = now.saturating_sub(ask.arrived);
    WaitSnapshot {
        prompt: u32::try_from(ask.size.prompt).unwrap_or(u32::MAX),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}

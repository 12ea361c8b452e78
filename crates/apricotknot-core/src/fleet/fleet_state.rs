//! All endpoints, and the work of all nodes at them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::AttemptEnd;
use super::ColdLimiter;
use super::EndpointEntry;
use super::HealthRecord;
use super::LoadSnapshot;
use super::PlacementPlan;
use super::PlacementQuery;
use super::WaitSnapshot;
use super::WorkItem;
use super::WorkPhase;
use super::WorkRole;
use super::WorkSnapshot;
use crate::membership::hash_text;
use crate::routing::ServiceProfile;
use crate::types::AttemptId;
use crate::types::DataCentreId;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::RegionId;
use crate::types::ServiceId;

/// Time after which the work of a silent node no longer counts.
const SNAPSHOT_LIFETIME: Duration = Duration::from_millis(2_500);

/// Most attempts told in one message, so that it fits a datagram.
const MAX_WORK_SNAPSHOTS: usize = 160;

/// Most waiting requests told in one message.
const MAX_WAIT_SNAPSHOTS: usize = 16;

/// One endpoint with what this node has seen of it.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// What it announces of itself.
    pub entry: EndpointEntry,
    /// What this node has seen of it.
    pub health: HealthRecord,
    /// Place of the endpoint among equal ones in the eyes of this node, from 0 to 1.
    pub jitter: f64,
    cold_limiter: ColdLimiter,
}

#[derive(Clone, Debug)]
struct PeerView {
    incarnation: u64,
    sequence: u64,
    received: MonotonicTime,
    work_items: Vec<WorkItem>,
    waits: Vec<WaitSnapshot>,
}

/// Holds what one node knows of the endpoints and of all work at them.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    endpoints: BTreeMap<EndpointId, EndpointState>,
    /// Makes the preferences of this node different from those of others.
    jitter_seed: u64,
    evacuated: BTreeSet<DataCentreId>,
    regions: BTreeMap<DataCentreId, RegionId>,
    services: BTreeMap<ServiceId, ServiceProfile>,
    /// What the runner of each attempt does, and then what its helpers do.
    own_work: HashMap<AttemptId, Vec<WorkItem>>,
    peers: BTreeMap<NodeId, PeerView>,
    node_count: usize,
}

// Commands.
impl FleetState {
    /// Creates the board of `node`, which knows the region of each data centre.
    pub fn new(node: &str, regions: BTreeMap<DataCentreId, RegionId>) -> Self {
        Self { jitter_seed: hash_text(0, node), regions, node_count: 1, ..Self::default() }
    }

    /// Takes in the services of a new configuration.
    pub fn set_services(&mut self, services: BTreeMap<ServiceId, ServiceProfile>) {
        self.services = services;
    }

    /// Takes in the number of nodes that share the limits of the fleet.
    pub fn set_node_count(&mut self, node_count: usize) {
        self.node_count = node_count.max(1);
    }

    /// Adds an endpoint or takes in what it announces anew.
    pub fn set_endpoint(&mut self, entry: EndpointEntry) {
        match self.endpoints.get_mut(&entry.id) {
            Some(state) if state.entry.incarnation == entry.incarnation => state.entry = entry,
            _ => {
                let id = Arc::clone(&entry.id);
                let (health, cold_limiter) = (HealthRecord::default(), ColdLimiter::default());
                let hash = hash_text(self.jitter_seed, &id) >> 32;
                let jitter = hash as f64 / f64::from(u32::MAX);
                self.endpoints.insert(id, EndpointState { entry, health, jitter, cold_limiter });
            },
        }
    }

    /// Removes an endpoint that has left.
    pub fn remove_endpoint(&mut self, endpoint: &str) {
        self.endpoints.remove(endpoint);
    }

    /// Stops or resumes new work for a data centre.
    ///
    /// Endpoints that are taken back count as cold, as they may have restarted meanwhile.
    pub fn set_evacuated(
        &mut self,
        data_centre: DataCentreId,
        is_evacuated: bool,
        now: MonotonicTime,
    ) {
        if is_evacuated {
            self.evacuated.insert(data_centre);
            return;
        }
        if !self.evacuated.remove(&data_centre) {
            return;
        }
        for state in
            self.endpoints.values_mut().filter(|state| state.entry.data_centre == data_centre)
        {
            let profile = self.services.get(&state.entry.service);
            let cold_time = profile.map(|profile| profile.cold_time).unwrap_or_default();
            state.entry.cold_until = state.entry.cold_until.max(now + cold_time);
        }
    }

    /// Records that an attempt is about to be sent by `plan`.
    pub fn record_start(
        &mut self,
        attempt: AttemptId,
        query: &PlacementQuery,
        plan: &PlacementPlan,
        now: MonotonicTime,
    ) {
        if let Some(state) = self.endpoints.get_mut(&plan.endpoint) {
            state.cold_limiter.record(now);
        }
        let work = |endpoint: &EndpointId, role, memory| WorkItem {
            endpoint: Arc::clone(endpoint),
            role,
            prompt: query.size.prompt,
            memory,
            prefill_time: plan.prefill_time,
            phase: WorkPhase::Prefill,
            since: now,
            pause_limit: query.pause_limit,
        };
        let helpers = plan.helpers.iter();
        let helpers = helpers.map(|part| work(&part.endpoint, WorkRole::Helper, part.memory));
        let runner = work(&plan.endpoint, WorkRole::Runner, plan.memory);
        self.own_work.insert(attempt, std::iter::once(runner).chain(helpers).collect());
    }

    /// Records that the answer of an attempt began.
    pub fn record_first_event(&mut self, attempt: AttemptId, now: MonotonicTime) {
        let Some(work_items) = self.own_work.get_mut(&attempt) else {
            return;
        };
        // The whole prompt has been read; helpers go on only where they hold a part of it.
        work_items.retain(|work| work.role == WorkRole::Runner || work.memory > 0);
        for work in work_items {
            work.phase = WorkPhase::Decode;
            work.since = now;
        }
    }

    /// Records that an attempt is over.
    pub fn record_end(&mut self, attempt: AttemptId, end: AttemptEnd, now: MonotonicTime) {
        let Some(work) =
            self.own_work.remove(&attempt).and_then(|work_items| work_items.into_iter().next())
        else {
            return;
        };
        if let Some(state) = self.endpoints.get_mut(&work.endpoint) {
            state.health.record_end(end, now);
        }
    }

    /// Records how many times longer than expected an endpoint took to begin an answer.
    pub fn record_slowdown(&mut self, endpoint: &str, ratio: f64, now: MonotonicTime) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.health.record_slowdown(ratio, now);
        }
    }

    /// Takes in what another node tells; returns whether it was newer than what was known.
    pub fn apply_snapshot(&mut self, snapshot: LoadSnapshot, now: MonotonicTime) -> bool {
        let order = (snapshot.incarnation, snapshot.sequence);
        let known = self.peers.get(&snapshot.node);
        if known.is_some_and(|view| (view.incarnation, view.sequence) >= order) {
            return false;
        }
        let view = PeerView {
            incarnation: snapshot.incarnation,
            sequence: snapshot.sequence,
            received: now,
            work_items: snapshot.works.into_iter().map(|work| work.into_work_item(now)).collect(),
            waits: snapshot.waits,
        };
        self.peers.insert(snapshot.node, view);
        true
    }

    /// Forgets nodes that have been silent for too long.
    pub fn remove_stale_peers(&mut self, now: MonotonicTime) {
        self.peers.retain(|_, view| view.received + SNAPSHOT_LIFETIME > now);
    }
}

// Queries.
impl FleetState {
    /// Returns an endpoint.
    pub fn endpoint(&self, id: &str) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values()
    }

    /// Returns the endpoint that runs an attempt of this node.
    pub fn runner(&self, attempt: AttemptId) -> Option<&EndpointId> {
        self.own_work.get(&attempt)?.first().map(|work| &work.endpoint)
    }

    /// Returns the profile of a service.
    pub fn service(&self, service: &str) -> Option<&ServiceProfile> {
        self.services.get(service)
    }

    /// Returns the region of a data centre.
    pub fn region(&self, data_centre: &str) -> Option<&RegionId> {
        self.regions.get(data_centre)
    }

    /// Returns the data centres in which operators want no new work.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentreId> {
        self.evacuated.iter()
    }

    /// Returns whether operators want no new work in a data centre.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns whether an endpoint may take one more request as far as its start is concerned.
    pub fn is_within_cold_rate(&self, state: &EndpointState, now: MonotonicTime) -> bool {
        if now >= state.entry.cold_until {
            return true;
        }
        let rate = self.services.get(&state.entry.service).map_or(0.0, |profile| profile.cold_rate);
        rate <= 0.0 || state.cold_limiter.allows(rate, self.node_count, now)
    }

    /// Returns the work of all nodes.
    pub fn work_items(&self, now: MonotonicTime) -> impl Iterator<Item = &WorkItem> {
        let peers = self.peers.values().filter(move |view| view.received + SNAPSHOT_LIFETIME > now);
        self.own_work.values().flatten().chain(peers.flat_map(|view| &view.work_items))
    }

    /// Returns the requests that wait at other nodes, with the time since each arrived.
    pub fn peer_waits(&self, now: MonotonicTime) -> impl Iterator<Item = (&NodeId, u64, Duration)> {
        let peers =
            self.peers.iter().filter(move |(_, view)| view.received + SNAPSHOT_LIFETIME > now);
        peers.flat_map(move |(node, view)| {
            let since = now.saturating_sub(view.received);
            view.waits.iter().map(move |wait| {
                let age = Duration::from_millis(u64::from(wait.age_ms)) + since;
                (node, u64::from(wait.prompt), age)
            })
        })
    }

    /// Returns the number of nodes that share the limits of the fleet.
    pub fn node_count(&self) -> usize {
        self.node_count
    }

    /// Returns this node's work as it is told to others.
    pub fn work_snapshots(&self, now: MonotonicTime) -> Vec<WorkSnapshot> {
        self.own_work
            .values()
            .flatten()
            .take(MAX_WORK_SNAPSHOTS)
            .map(|work| WorkSnapshot::new(work, now))
            .collect()
    }

    /// Returns the most waiting requests that are told to others.
    pub fn max_wait_snapshots() -> usize {
        MAX_WAIT_SNAPSHOTS
    }
}

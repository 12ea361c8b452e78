//! State of all endpoints and of the work of all nodes at them, as one node knows it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::AttemptEnd;
use super::EndpointEntry;
use super::EndpointPhase;
use super::LoadKnowledge;
use super::LoadSnapshot;
use super::NodeOrder;
use super::PathHealth;
use super::PlacementPlan;
use super::PlacementQuery;
use super::WorkItem;
use super::WorkPhase;
use super::WorkRole;
use super::WorkSnapshot;
use super::backoff_table::BackoffTable;
use super::endpoint_state::EndpointState;
use super::leaving_table::LeavingTable;
use super::peer_view::PeerView;
use super::peer_view::PeerWait;
use super::peer_view::prefills_missing_in;
use crate::membership::hash_text;
use crate::routing::ServiceProfile;
use crate::types::AttemptId;
use crate::types::DataCentreId;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::PriorityRank;
use crate::types::RegionId;
use crate::types::ServiceId;

/// Time after which the last snapshot of a node is ignored if no newer one arrives.
const SNAPSHOT_LIFETIME: Duration = Duration::from_millis(2_500);

/// Maximum work items in one load snapshot, so that it fits in a datagram.
const MAX_WORK_SNAPSHOTS: usize = 160;

/// Maximum waiting requests in one load snapshot.
const MAX_WAIT_SNAPSHOTS: usize = 16;

/// Holds the endpoints that one node knows, its own work and the last snapshot of each other node.
#[derive(Clone, Debug)]
pub struct FleetState {
    pub(super) endpoints: BTreeMap<EndpointId, EndpointState>,
    /// Name of this node.
    node: NodeId,
    /// Data centre of this node, if it is known.
    data_centre: Option<DataCentreId>,
    /// Hash of this node's id, the seed of the endpoints' jitter.
    pub(super) jitter_seed: u64,
    /// Data centres in which operators want no new work.
    evacuated: BTreeSet<DataCentreId>,
    regions: BTreeMap<DataCentreId, RegionId>,
    pub(super) services: BTreeMap<ServiceId, ServiceProfile>,
    /// Work of each attempt of this node: first that of the runner, then that of its helpers.
    pub(super) own_work: HashMap<AttemptId, Vec<WorkItem>>,
    peers: BTreeMap<NodeId, PeerView>,
    /// Nodes that share the limits of the fleet, this one included.
    pub(super) node_order: NodeOrder,
    /// Whether this node reaches the endpoints by connections of its own.
    pub(super) path_health: PathHealth,
    /// Backoffs that endpoints have asked for.
    pub(super) backoffs: BackoffTable,
    /// Endpoints whose answers say that they leave.
    pub(super) leaving: LeavingTable,
}

// Methods that change the state.
impl FleetState {
    /// Creates the state of `node`, without endpoints; `regions` holds the region of each data
    /// centre.
    pub fn new(node: &str, regions: BTreeMap<DataCentreId, RegionId>) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            node: node.into(),
            data_centre: None,
            jitter_seed: hash_text(0, node),
            evacuated: BTreeSet::new(),
            regions,
            services: BTreeMap::new(),
            own_work: HashMap::new(),
            peers: BTreeMap::new(),
            node_order: NodeOrder::new(node, []),
            path_health: PathHealth::default(),
            backoffs: BackoffTable::default(),
            leaving: LeavingTable::default(),
        }
    }

    /// Sets the data centre that this node runs in.
    pub fn set_data_centre(&mut self, data_centre: DataCentreId) {
        self.data_centre = Some(data_centre);
    }

    /// Replaces the services by those of a new configuration.
    pub fn set_services(&mut self, services: BTreeMap<ServiceId, ServiceProfile>) {
        self.services = services;
    }

    /// Sets the nodes that share the limits of the fleet: this one, those of `announced` and those
    /// whose snapshots arrive.
    pub fn set_nodes(&mut self, announced: &[NodeId]) {
        let others = announced.iter().chain(self.peers.keys());
        self.node_order = NodeOrder::new(&self.node, others);
    }

    /// Adds an endpoint, or updates its registration.
    ///
    /// A new incarnation of the endpoint starts with an empty health record.
    pub fn set_endpoint(&mut self, entry: EndpointEntry) {
        match self.endpoints.get_mut(&entry.id) {
            Some(state) if state.entry.incarnation == entry.incarnation => state.entry = entry,
            _ => {
                let id = Arc::clone(&entry.id);
                self.endpoints.insert(id, EndpointState::new(entry, self.jitter_seed));
            },
        }
    }

    /// Removes an endpoint that is no longer registered.
    pub fn remove_endpoint(&mut self, endpoint: &str) {
        self.endpoints.remove(endpoint);
    }

    /// Stops or resumes new work for a data centre.
    ///
    /// When work resumes, the endpoints of the data centre count as cold, as they may have
    /// restarted in the meantime.
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

    /// Records that an attempt is about to be sent according to `plan`.
    pub fn record_start(
        &mut self,
        attempt: AttemptId,
        query: &PlacementQuery,
        plan: &PlacementPlan,
        now: MonotonicTime,
    ) {
        if let Some(state) = self.endpoints.get_mut(&plan.endpoint) {
            state.record_sent(now);
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
            rank: query.rank,
        };
        let helpers = plan.helpers.iter();
        let helpers = helpers.map(|part| work(&part.endpoint, WorkRole::Helper, part.memory));
        let runner = work(&plan.endpoint, WorkRole::Runner, plan.memory);
        let work_items: Vec<WorkItem> = std::iter::once(runner).chain(helpers).collect();
        self.add_prefills(&work_items);
        self.own_work.insert(attempt, work_items);
    }

    /// Records that the first event of an attempt's answer arrived.
    pub fn record_first_event(&mut self, attempt: AttemptId, now: MonotonicTime) {
        let Some(work_items) = self.own_work.get_mut(&attempt) else {
            return;
        };
        // The whole prompt is prefilled. A helper still has work only if it holds a part of the
        // key-value cache.
        work_items.retain(|work| work.role == WorkRole::Runner || work.memory > 0);
        for work in work_items {
            work.phase = WorkPhase::Decode;
            work.since = now;
        }
    }

    /// Records that an attempt ended, and updates the health of the endpoint that ran it.
    pub fn record_end(&mut self, attempt: AttemptId, end: AttemptEnd, now: MonotonicTime) {
        let work_items = self.own_work.remove(&attempt).unwrap_or_default();
        self.withdraw_prefills(&work_items, now);
        let Some(work) = work_items.into_iter().next() else {
            return;
        };
        if let Some(state) = self.endpoints.get_mut(&work.endpoint) {
            state.record_end(end, now);
        }
    }

    /// Records that an endpoint is silent, whose attempt has not ended yet.
    pub fn record_silence(&mut self, endpoint: &str, now: MonotonicTime) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.health.record_end(AttemptEnd::Silent, now);
        }
    }

    /// Records that an endpoint began an answer after `ratio` times the expected time.
    pub fn record_slowdown(&mut self, endpoint: &str, ratio: f64, now: MonotonicTime) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.health.record_slowdown(ratio, now);
        }
    }

    /// Records that an endpoint did not reserve memory for a prompt of another one.
    pub fn record_memory_refused(&mut self, endpoint: &str, now: MonotonicTime) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_memory_refused(now);
        }
    }

    /// Applies the snapshot of another node; returns whether it is newer than the known one.
    ///
    /// An older snapshot is ignored.
    pub fn apply_snapshot(&mut self, snapshot: LoadSnapshot, now: MonotonicTime) -> bool {
        if self.peers.get(&snapshot.node).is_some_and(|view| !view.is_older_than(&snapshot)) {
            return false;
        }
        let node = NodeId::clone(&snapshot.node);
        let known = self.peers.remove(&node).map(|view| view.work_items).unwrap_or_default();
        let view = PeerView::new(snapshot, now);
        self.add_prefills(&prefills_missing_in(&known, &view.work_items));
        self.withdraw_prefills(&prefills_missing_in(&view.work_items, &known), now);
        self.peers.insert(node, view);
        true
    }

    fn add_prefills(&mut self, work_items: &[WorkItem]) {
        for work in work_items.iter().filter(|work| work.phase == WorkPhase::Prefill) {
            if let Some(state) = self.endpoints.get_mut(&work.endpoint) {
                state.prefills.add(work.role, work.since, work.prefill_time);
            }
        }
    }

    fn withdraw_prefills(&mut self, work_items: &[WorkItem], now: MonotonicTime) {
        for work in work_items.iter().filter(|work| work.phase == WorkPhase::Prefill) {
            if let Some(state) = self.endpoints.get_mut(&work.endpoint) {
                state.prefills.withdraw(work.role, work.since, work.prefill_time, now);
            }
        }
    }

    /// Removes the snapshots of nodes that have sent no new one for too long.
    pub fn remove_stale_peers(&mut self, now: MonotonicTime) {
        self.peers.retain(|_, view| view.received + SNAPSHOT_LIFETIME > now);
    }
}

// Methods that only read the state.
impl FleetState {
    /// Returns the endpoint `id`, or `None` if it is not registered.
    pub fn endpoint(&self, id: &str) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    /// Returns all registered endpoints, ordered by id.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values()
    }

    /// Returns the endpoint that runs an attempt of this node, or `None` if the attempt has ended.
    pub fn runner(&self, attempt: AttemptId) -> Option<&EndpointId> {
        self.own_work.get(&attempt)?.first().map(|work| &work.endpoint)
    }

    /// Returns the profile of a service, or `None` if it is not configured.
    pub fn service(&self, service: &str) -> Option<&ServiceProfile> {
        self.services.get(service)
    }

    /// Returns the other nodes whose last snapshot is recent.
    pub(super) fn recent_peers(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (&NodeId, &PeerView)> {
        self.peers.iter().filter(move |(_, view)| view.received + SNAPSHOT_LIFETIME > now)
    }

    /// Returns the region of a data centre, or `None` if it is not configured.
    pub fn region(&self, data_centre: &str) -> Option<&RegionId> {
        self.regions.get(data_centre)
    }

    /// Returns the region of this node, or `None` if its data centre or that one's region is not known.
    pub fn own_region(&self) -> Option<&RegionId> {
        self.region(self.data_centre.as_deref()?)
    }

    /// Returns the name of this node.
    pub(super) fn node(&self) -> &NodeId {
        &self.node
    }

    /// Returns whether an endpoint takes new requests of any node, apart from its load and health.
    pub fn takes_requests(&self, state: &EndpointState) -> bool {
        let entry = &state.entry;
        entry.phase == EndpointPhase::Ready
            && !self.is_leaving(state)
            && !self.is_evacuated(&entry.data_centre)
    }

    /// Returns whether this node may send new requests to an endpoint at `now`, apart from the
    /// endpoint's load, its health and its request rate.
    pub fn may_send(&self, state: &EndpointState, now: MonotonicTime) -> bool {
        self.takes_requests(state) && self.backoff_end(state, now).is_none()
    }

    /// Returns whether a data centre is known to be another one than that of this node.
    pub fn is_remote(&self, data_centre: &str) -> bool {
        self.data_centre.as_ref().is_some_and(|own| **own != *data_centre)
    }

    /// Returns the data centres in which operators want no new work.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentreId> {
        self.evacuated.iter()
    }

    /// Returns whether operators want no new work in a data centre.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns the work in progress of this node and of all nodes with a recent snapshot.
    pub fn work_items(&self, now: MonotonicTime) -> impl Iterator<Item = &WorkItem> {
        let peers = self.peers.values().filter(move |view| view.received + SNAPSHOT_LIFETIME > now);
        self.own_work.values().flatten().chain(peers.flat_map(|view| &view.work_items))
    }

    /// Returns the requests that wait at other nodes.
    pub fn peer_waits(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerWait> {
        self.recent_peers(now).flat_map(|(_, view)| &view.waits)
    }

    /// Returns how the work of other nodes becomes known.
    pub(super) fn load_knowledge(&self) -> LoadKnowledge {
        LoadKnowledge::in_fleet_of(self.node_count())
    }

    /// Returns the number of nodes that share the limits of the fleet, this one included.
    pub fn node_count(&self) -> usize {
        self.node_order.count()
    }

    /// Returns this node's work in progress for its load snapshot.
    ///
    /// Beyond the maximum that fits in a datagram, an arbitrary part of the work is left out.
    pub fn work_snapshots(&self, now: MonotonicTime) -> Vec<WorkSnapshot> {
        self.own_work
            .values()
            .flatten()
            .take(MAX_WORK_SNAPSHOTS)
            .map(|work| WorkSnapshot::new(work, now))
            .collect()
    }

    /// Returns the ranks of the work in [`Self::work_snapshots`], in the same order.
    pub fn rank_snapshots(&self) -> Vec<PriorityRank> {
        let works = self.own_work.values().flatten().take(MAX_WORK_SNAPSHOTS);
        works.map(|work| work.rank).collect()
    }

    /// Returns the maximum number of waiting requests in a load snapshot.
    pub fn max_wait_snapshots() -> usize {
        MAX_WAIT_SNAPSHOTS
    }
}

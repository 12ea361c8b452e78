//! Control state of a node: a state machine without a clock, a socket or a thread.
//!
//! Each method takes the current time, so tests can run it deterministically.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::CrashReport;
use apricotknot_core::fleet::FleetState;
use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::PlacementDecision;
use apricotknot_core::fleet::PlacementPlan;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::PromptPartId;
use apricotknot_core::fleet::QueuePosition;
use apricotknot_core::fleet::RateChange;
use apricotknot_core::fleet::RetryLimiter;
use apricotknot_core::fleet::RetryPolicy;
use apricotknot_core::fleet::place;
use apricotknot_core::routing::DesiredState;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::RegionId;
use apricotknot_core::types::ServiceId;

use super::AttemptGuard;
use super::ControlCommand;
use super::ControlHandle;
use super::EndpointGrant;
use super::HelperGrant;
use super::NodeRegistry;
use super::PlacementRefusal;
use super::PlacementRequest;
use super::QuarantineNotice;
use super::RegistryChange;
use super::StoreUpdate;
use super::kept_configuration::KeptConfiguration;
use super::request_quarantine::RequestQuarantine;
use super::restore_hold::RestoreHold;
use super::wait_queue::PlacementSender;
use super::wait_queue::WaitQueue;
use super::wait_queue::WaitingRequest;
use crate::protocol::RecordChange;

/// Time after an outage of the key-value service within which endpoints announce themselves again.
///
/// Until it has passed, endpoints without a record are kept.
const REANNOUNCE_GRACE: Duration = Duration::from_millis(2_200);

/// Refusal of a request that crashes endpoints, or that has a part that does.
const QUARANTINE_REFUSAL: PlacementRefusal =
    PlacementRefusal { reason: "crashes endpoints", retry_after: Duration::from_secs(30) };

/// Interval between two passes over the waiting requests, for each of them.
///
/// A pass weighs all work of the fleet for each request. Inputs arrive far more often, as every
/// node reports each change of its work.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(15);

/// Longest interval between two passes over the waiting requests.
const MAX_PLACEMENT_INTERVAL: Duration = Duration::from_millis(90);

/// Interval at which the nodes that share limits are counted.
const NODE_COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Retry delay that callers are given when a retry is not allowed or no endpoint has room.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Holds the limits that apply to all nodes of the fleet together.
#[derive(Clone, Debug)]
pub struct FleetLimits {
    /// Limit of the retries that all nodes together send.
    pub retries: RetryPolicy,
}

/// Holds the node's view of the fleet, and places its requests.
#[derive(Debug)]
pub struct ControlState {
    /// Handle of this state's own thread; grants report their end through it.
    handle: ControlHandle,
    node: NodeId,
    incarnation: u64,
    sequence: u64,
    limits: FleetLimits,
    fleet: FleetState,
    registry: NodeRegistry,
    quarantine: RequestQuarantine,
    retry_limiters: BTreeMap<ServiceId, RetryLimiter>,
    wait_queue: WaitQueue,
    /// Time from which the nodes that share limits are counted again.
    next_node_count: MonotonicTime,
    /// Time from which the waiting requests may be weighed again.
    next_pass: MonotonicTime,
    /// Number of times that a request was weighed against the fleet.
    placement_count: u64,
    /// Changes of endpoints' limits that were not taken yet.
    rate_changes: Vec<RateChange>,
    desired: Option<Arc<DesiredState>>,
    peer_secret: Option<Vec<u8>>,
    store_unreachable_since: Option<MonotonicTime>,
    store_reachable_since: Option<MonotonicTime>,
    /// Endpoints without a record after an outage of the store, with the time until which they may
    /// announce themselves again.
    missing_until: BTreeMap<EndpointId, MonotonicTime>,
    restore_hold: RestoreHold,
    kept_configuration: KeptConfiguration,
}

impl ControlState {
    /// Creates the state of a node that has not read the key-value service yet.
    pub fn new(
        handle: ControlHandle,
        node: NodeId,
        incarnation: u64,
        regions: BTreeMap<DataCentreId, RegionId>,
        limits: FleetLimits,
    ) -> Self {
        Self {
            handle,
            fleet: FleetState::new(&node, regions),
            node,
            incarnation,
            sequence: 0,
            limits,
            registry: NodeRegistry::default(),
            quarantine: RequestQuarantine::default(),
            retry_limiters: BTreeMap::new(),
            wait_queue: WaitQueue::default(),
            next_node_count: MonotonicTime::ZERO,
            next_pass: MonotonicTime::ZERO,
            placement_count: 0,
            rate_changes: Vec::new(),
            desired: None,
            peer_secret: None,
            store_unreachable_since: None,
            store_reachable_since: None,
            missing_until: BTreeMap::new(),
            restore_hold: RestoreHold::default(),
            kept_configuration: KeptConfiguration::default(),
        }
    }

    /// Handles a command of a traffic thread.
    pub fn handle_command(&mut self, command: ControlCommand, now: MonotonicTime) {
        match command {
            ControlCommand::Place { request, reply } => self.request_placement(request, reply, now),
            ControlCommand::AnswerBegan { attempt, endpoint, slowdown } => {
                self.fleet.record_first_event(attempt, now);
                self.fleet.record_slowdown(&endpoint, slowdown, now);
            },
            ControlCommand::RateStated { endpoint, statement, sent_at } => {
                let change = self.fleet.record_rate_statement(&endpoint, statement, sent_at, now);
                self.rate_changes.extend(change);
            },
            ControlCommand::Confirm { attempt, reply } => {
                // A closed channel means that the call has ended.
                let _ = reply.send(self.fleet.is_still_permitted(attempt));
            },
            ControlCommand::AttemptEnded { attempt, end } => self.end_attempt(attempt, end, now),
            ControlCommand::ConnectionBroken { fingerprint, endpoint } => {
                self.quarantine.record_broken(CrashReport { fingerprint, endpoint }, now);
            },
            ControlCommand::PromptBroken(report) => {
                self.quarantine.record_prompt_broken(report, now);
            },
            ControlCommand::RequestAnswered { fingerprint, shared_parts } => {
                self.quarantine.record_answered(fingerprint, &shared_parts, now);
            },
            ControlCommand::Stop { .. } => {},
        }
    }

    /// Applies the complete content of the key-value service.
    ///
    /// Endpoints, evacuations and nodes that it does not contain are removed. After the service has
    /// come back from a copy, what the copy has lost is kept for a while. Returns the configuration
    /// if it is newer than the one in force.
    pub fn apply_snapshot(
        &mut self,
        mut update: StoreUpdate,
        now: MonotonicTime,
    ) -> Option<Arc<DesiredState>> {
        self.record_store_reachable(now);
        if update.is_restored {
            // Endpoints announce themselves again, as after an outage.
            self.store_reachable_since = Some(now);
            self.restore_hold.begin(now);
            self.kept_configuration.record_restored(self.registry.index_of(&self.node), now);
        }
        let is_held = self.restore_hold.is_active(now);
        let mut endpoints = BTreeSet::new();
        let mut evacuated = BTreeSet::new();
        for record in &update.record_changes {
            match record {
                RecordChange::EndpointAnnounced(entry) => {
                    _ = endpoints.insert(Arc::clone(&entry.id))
                },
                RecordChange::DataCentreEvacuated(centre) => {
                    _ = evacuated.insert(Arc::clone(centre))
                },
                _ => {},
            }
        }
        let known = self.fleet.endpoints().map(|state| &state.entry.id);
        let removed: Vec<_> = known.filter(|id| !endpoints.contains(*id)).cloned().collect();
        for endpoint in removed {
            self.remove_or_defer(endpoint, now);
        }
        let known = self.fleet.evacuated();
        let restored: Vec<_> = known.filter(|id| !evacuated.contains(*id)).cloned().collect();
        for centre in restored {
            match is_held {
                true => self.restore_hold.hold_evacuated(centre),
                false => self.fleet.set_evacuated(centre, false, now),
            }
        }
        if is_held {
            let (hold, fleet) = (&self.restore_hold, &self.fleet);
            update.record_changes.retain(|record| match record {
                RecordChange::EndpointAnnounced(entry) => !hold.is_outdated(entry, fleet),
                _ => true,
            });
        }
        let present = update.registry_changes.iter().filter_map(|change| match change {
            RegistryChange::NodeAnnounced(node, _) => Some(Arc::clone(node)),
            _ => None,
        });
        self.registry.retain(&present.collect::<Vec<_>>(), now);
        if !is_held {
            self.quarantine.retain_recorded(&update.registry_changes);
        }
        self.apply_changes(update, now)
    }

    /// Applies changes of the key-value service.
    ///
    /// Returns the configuration if it is newer than the one in force.
    pub fn apply_changes(
        &mut self,
        update: StoreUpdate,
        now: MonotonicTime,
    ) -> Option<Arc<DesiredState>> {
        self.record_store_reachable(now);
        for change in update.registry_changes {
            self.apply_registry_change(change, now);
        }
        let mut newest = None;
        for record in update.record_changes {
            newest = self.apply_record_change(record, now).or(newest);
        }
        newest
    }

    /// Records that the key-value service is unreachable; returns whether it was reachable before.
    pub fn record_store_unreachable(&mut self, now: MonotonicTime) -> bool {
        let was_reachable = self.store_unreachable_since.is_none();
        self.store_unreachable_since.get_or_insert(now);
        was_reachable
    }

    /// Applies the load snapshot of another node.
    pub fn apply_peer_snapshot(&mut self, mut snapshot: LoadSnapshot, now: MonotonicTime) {
        if snapshot.node == self.node {
            return;
        }
        self.quarantine.apply_reports(&mut snapshot, now);
        let rates = std::mem::take(&mut snapshot.rates);
        self.rate_changes.extend(self.fleet.apply_rate_reports(rates, now));
        self.fleet.apply_snapshot(snapshot, now);
    }

    /// Removes what has expired at `now`, and tries again to place the waiting requests if the
    /// last pass over them is long enough ago.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.fleet.remove_stale_peers(now);
        self.registry.expire(now);
        self.update_nodes(now);
        self.remove_missing(now);
        for centre in self.restore_hold.expire(now) {
            self.fleet.set_evacuated(centre, false, now);
        }
        if now >= self.next_pass {
            self.next_pass = now + pass_interval(self.wait_queue.len());
            self.place_waiting(now);
        }
    }

    /// Takes the notices of newly quarantined prompt parts since the last call.
    pub fn take_notices(&mut self) -> Vec<QuarantineNotice> {
        self.quarantine.take_notices()
    }

    /// Takes the changes of endpoints' limits since the last call.
    pub fn take_rate_changes(&mut self) -> Vec<RateChange> {
        std::mem::take(&mut self.rate_changes)
    }

    /// Takes the configuration in force if this node has to write it to the key-value service,
    /// which has lost it.
    pub fn take_lost_configuration(&mut self, now: MonotonicTime) -> Option<Arc<DesiredState>> {
        let desired = self.desired.as_ref()?;
        self.kept_configuration.take_write(desired.version, now).then(|| Arc::clone(desired))
    }

    /// Returns the load snapshot to send to other nodes, under the next sequence number.
    pub fn next_snapshot(&mut self, now: MonotonicTime) -> LoadSnapshot {
        self.sequence += 1;
        let mut snapshot = LoadSnapshot {
            node: Arc::clone(&self.node),
            incarnation: self.incarnation,
            sequence: self.sequence,
            works: self.fleet.work_snapshots(now),
            waits: self.wait_queue.snapshots(now),
            crashes: Vec::new(),
            part_crashes: Vec::new(),
            part_answers: Vec::new(),
            rates: self.fleet.rate_reports(self.sequence, now),
        };
        self.quarantine.add_reports(&mut snapshot, now);
        snapshot
    }

    /// Returns whether a request must not be sent; one node probes quarantined parts for all.
    fn is_quarantined(&mut self, request: &PlacementRequest, now: MonotonicTime) -> bool {
        let may_probe = self.registry.is_first(&self.node);
        self.quarantine.refuses(request, may_probe, now)
    }

    fn request_placement(
        &mut self,
        request: Box<PlacementRequest>,
        reply: PlacementSender,
        now: MonotonicTime,
    ) {
        if self.is_quarantined(&request, now) {
            let _ = reply.send(Err(QUARANTINE_REFUSAL));
            return;
        }
        let nodes = self.fleet.node_count();
        let limiter = self.retry_limiters.entry(Arc::clone(&request.query.service)).or_default();
        if !request.is_retry {
            limiter.record_request(&self.limits.retries, now);
        } else if !limiter.try_retry(&self.limits.retries, nodes, now) {
            let reason = "retry budget spent";
            let _ = reply.send(Err(PlacementRefusal { reason, retry_after: DEFAULT_RETRY_AFTER }));
            return;
        }
        let waiting = WaitingRequest { request, reply };
        let position = self.queue_position(&waiting.request.query, now);
        if let Some(waiting) = self.try_place(waiting, position, now) {
            self.wait_queue.push(waiting);
        }
    }

    fn place_waiting(&mut self, now: MonotonicTime) {
        for request in self.wait_queue.take_ordered(now) {
            if self.is_quarantined(&request.request, now) {
                let _ = request.reply.send(Err(QUARANTINE_REFUSAL));
                continue;
            }
            let position = self.queue_position(&request.request.query, now);
            if let Some(request) = self.try_place(request, position, now) {
                self.wait_queue.push(request);
            }
        }
    }

    /// Returns the position of `query` among the requests that wait at any node.
    fn queue_position(&self, query: &PlacementQuery, now: MonotonicTime) -> QueuePosition {
        let age = now.saturating_sub(query.arrived);
        let peers = self
            .fleet
            .peer_waits(now)
            .filter(|(_, prompt, waited)| *waited > age && *prompt <= query.size.prompt);
        QueuePosition {
            rank: self.wait_queue.count_before(query) + peers.count(),
            ahead: self.wait_queue.count_for(&query.service),
        }
    }

    /// Answers a request if an endpoint is found or it is refused; returns it if it has to wait.
    fn try_place(
        &mut self,
        waiting: WaitingRequest,
        position: QueuePosition,
        now: MonotonicTime,
    ) -> Option<WaitingRequest> {
        self.placement_count += 1;
        match place(&self.fleet, &waiting.request.query, position, now) {
            PlacementDecision::Wait if waiting.request.may_wait => return Some(waiting),
            PlacementDecision::Wait => {
                let refusal =
                    PlacementRefusal { reason: "no room", retry_after: DEFAULT_RETRY_AFTER };
                let _ = waiting.reply.send(Err(refusal));
            },
            PlacementDecision::Refuse { reason, retry_after } => {
                let _ = waiting.reply.send(Err(PlacementRefusal { reason, retry_after }));
            },
            PlacementDecision::Send(plan) => self.grant(waiting, plan, now),
        }
        None
    }

    fn grant(&mut self, waiting: WaitingRequest, plan: PlacementPlan, now: MonotonicTime) {
        let address_of =
            |endpoint: &EndpointId| self.fleet.endpoint(endpoint).map(|state| state.entry.address);
        let helpers = plan.helpers.iter().map(|part| {
            Some(HelperGrant {
                endpoint: Arc::clone(&part.endpoint),
                address: address_of(&part.endpoint)?,
                memory: part.memory,
            })
        });
        let (Some(address), Some(helpers)) =
            (address_of(&plan.endpoint), helpers.collect::<Option<Vec<_>>>())
        else {
            return;
        };
        let attempt = waiting.request.attempt;
        self.fleet.record_start(attempt, &waiting.request.query, &plan, now);
        let (endpoint, expected_start) = (plan.endpoint, plan.expected_start);
        let is_rate_limited = self.fleet.stated_limit(&endpoint).is_some();
        let guard = AttemptGuard::new(self.handle.clone(), attempt);
        let grant =
            EndpointGrant { guard, endpoint, address, helpers, is_rate_limited, expected_start };
        // A grant that is not received reports its end when it is dropped.
        let _ = waiting.reply.send(Ok(grant));
    }

    fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd, now: MonotonicTime) {
        let runner = self.fleet.runner(attempt).cloned();
        self.fleet.record_end(attempt, end, now);
        // The endpoint may have room again.
        self.next_pass = now;
        if let Some(endpoint) = runner.filter(|_| end == AttemptEnd::Unreachable) {
            self.quarantine.confirm_crashes(&endpoint, now);
        }
    }

    /// Counts the nodes that share limits, if the last count is long enough ago.
    fn update_nodes(&mut self, now: MonotonicTime) {
        if now >= self.next_node_count {
            self.next_node_count = now + NODE_COUNT_INTERVAL;
            self.fleet.set_nodes(&self.registry.names());
        }
    }

    fn apply_registry_change(&mut self, change: RegistryChange, now: MonotonicTime) {
        self.next_node_count = now;
        self.quarantine.apply_registry_change(&change, now);
        match change {
            RegistryChange::NodeAnnounced(node, record) => self.registry.set(node, record),
            RegistryChange::NodeRemoved(node) => self.registry.remove(&node, now),
            RegistryChange::Secret(secret) => self.peer_secret = Some(secret),
            RegistryChange::PartQuarantined(_) | RegistryChange::PartReleased(_) => {},
        }
    }

    fn apply_record_change(
        &mut self,
        record: RecordChange,
        now: MonotonicTime,
    ) -> Option<Arc<DesiredState>> {
        match record {
            RecordChange::Configuration(desired) => {
                self.kept_configuration.set_operator_version(desired.version);
                return self.apply_configuration(*desired);
            },
            RecordChange::KeptConfiguration(desired) => {
                self.kept_configuration.set_kept_version(desired.version);
                return self.apply_configuration(*desired);
            },
            RecordChange::EndpointAnnounced(entry) => {
                self.missing_until.remove(&entry.id);
                let known = self.fleet.endpoint(&entry.id).map(|state| state.entry.incarnation);
                if known.is_some_and(|incarnation| incarnation != entry.incarnation) {
                    self.quarantine.confirm_crashes(&entry.id, now);
                }
                self.fleet.set_endpoint(entry);
            },
            RecordChange::EndpointRemoved(endpoint) => {
                self.quarantine.confirm_crashes(&endpoint, now);
                self.remove_or_defer(endpoint, now);
            },
            RecordChange::DataCentreEvacuated(centre) => {
                self.restore_hold.release_evacuated(&centre);
                self.fleet.set_evacuated(centre, true, now);
            },
            RecordChange::DataCentreRestored(centre) => {
                self.restore_hold.release_evacuated(&centre);
                self.fleet.set_evacuated(centre, false, now);
            },
        }
        None
    }

    /// Applies a configuration unless the one in force is as new or newer.
    fn apply_configuration(&mut self, desired: DesiredState) -> Option<Arc<DesiredState>> {
        if self.desired.as_ref().is_some_and(|known| known.version >= desired.version) {
            return None;
        }
        self.fleet.set_services(desired.services.clone());
        let desired = Arc::new(desired);
        self.desired = Some(Arc::clone(&desired));
        Some(desired)
    }

    fn record_store_reachable(&mut self, now: MonotonicTime) {
        if self.store_unreachable_since.take().is_some() {
            self.store_reachable_since = Some(now);
        }
    }

    /// Removes an endpoint, or keeps it for a grace time if the store has just been unreachable.
    fn remove_or_defer(&mut self, endpoint: EndpointId, now: MonotonicTime) {
        match self
            .store_reachable_since
            .map(|since| since + REANNOUNCE_GRACE)
            .filter(|end| *end > now)
        {
            Some(end) => _ = self.missing_until.entry(endpoint).or_insert(end),
            None => self.remove_endpoint(&endpoint, now),
        }
    }

    fn remove_endpoint(&mut self, endpoint: &EndpointId, now: MonotonicTime) {
        if let Some(state) = self.fleet.endpoint(endpoint) {
            let incarnation = state.entry.incarnation;
            self.restore_hold.record_removed(Arc::clone(endpoint), incarnation, now);
        }
        self.fleet.remove_endpoint(endpoint);
    }

    fn remove_missing(&mut self, now: MonotonicTime) {
        let expired: Vec<EndpointId> = self
            .missing_until
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(endpoint, _)| Arc::clone(endpoint))
            .collect();
        for endpoint in expired {
            self.missing_until.remove(&endpoint);
            self.remove_endpoint(&endpoint, now);
        }
    }
}

impl ControlState {
    /// Returns the endpoints and the work at each of them.
    pub fn fleet(&self) -> &FleetState {
        &self.fleet
    }

    /// Returns the nodes of the fleet.
    pub fn registry(&self) -> &NodeRegistry {
        &self.registry
    }

    /// Returns the secret with which nodes sign their datagrams, or `None` before it was read.
    pub fn secret(&self) -> Option<&[u8]> {
        self.peer_secret.as_deref()
    }

    /// Returns whether the key-value service, as last read, confirms that the configuration in force
    /// is the newest one.
    ///
    /// A service that came back from a copy without it does not, until operators had the time to
    /// write it again.
    pub fn is_configuration_confirmed(&self, now: MonotonicTime) -> bool {
        let version = self.desired.as_ref().map(|desired| desired.version);
        version.is_none_or(|version| self.kept_configuration.is_confirmed(version, now))
    }

    /// Returns the prompt parts that this node knows to be recorded as quarantined.
    pub fn quarantined_parts(&self) -> Vec<PromptPartId> {
        self.quarantine.recorded_parts()
    }

    /// Returns since when the key-value service is unreachable, or `None` if it is reachable.
    pub fn store_unreachable_since(&self) -> Option<MonotonicTime> {
        self.store_unreachable_since
    }

    /// Returns the number of times that a request was weighed against the fleet.
    pub fn placement_count(&self) -> u64 {
        self.placement_count
    }

    /// Returns the number of requests that wait for an endpoint.
    pub fn waiting_count(&self) -> usize {
        self.wait_queue.len()
    }

    /// Returns whether any request waits for an endpoint.
    pub fn has_waiting(&self) -> bool {
        !self.wait_queue.is_empty()
    }
}

/// Returns the interval between two passes over `waiting` requests.
fn pass_interval(waiting: usize) -> Duration {
    let waiting = u32::try_from(waiting.max(1)).unwrap_or(u32::MAX);
    PLACEMENT_INTERVAL.saturating_mul(waiting).min(MAX_PLACEMENT_INTERVAL)
}

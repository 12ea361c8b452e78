//! Control state of a node: a state machine without a clock, a socket or a thread.
//!
//! Each method takes the current time, so tests can run it deterministically.

mod paths;
mod placements;
mod scaling;
mod store_updates;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::BackoffChange;
use apricotknot_core::fleet::CrashReport;
use apricotknot_core::fleet::FleetState;
use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::PathChange;
use apricotknot_core::fleet::PromptPartId;
use apricotknot_core::fleet::RateChange;
use apricotknot_core::fleet::RetryLimiter;
use apricotknot_core::fleet::RetryPolicy;
use apricotknot_core::routing::DesiredState;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::RegionId;
use apricotknot_core::types::ServiceId;

use super::ControlCommand;
use super::ControlHandle;
use super::HoldNotice;
use super::MissingNotice;
use super::NodeRegistry;
use super::QuarantineNotice;
use super::configuration_versions::ConfigurationVersions;
use super::missing_endpoints::MissingEndpoints;
use super::request_quarantine::RequestQuarantine;
use super::restore_hold::RestoreHold;
use super::store_contact::StoreContact;
use super::wait_queue::WaitQueue;

/// Interval between two passes over the waiting requests, for each of them.
///
/// A pass weighs all work of the fleet for each request. Inputs arrive far more often, as every
/// node reports each change of its work.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(15);

/// Longest interval between two passes over the waiting requests.
const MAX_PLACEMENT_INTERVAL: Duration = Duration::from_millis(90);

/// Number of nodes that record quarantined prompt parts again; one alone may just be ending.
const RECORDING_NODES: usize = 2;

/// Interval at which the nodes that share limits are counted.
const NODE_COUNT_INTERVAL: Duration = Duration::from_millis(100);

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
    /// Endpoints that are newly known to leave and were not taken yet.
    leaving_notices: Vec<EndpointId>,
    /// Requested backoffs that began or grew longer and were not taken yet.
    backoff_changes: Vec<BackoffChange>,
    /// Endpoints that may have crashed, or that this node only cannot reach itself.
    crash_suspects: Vec<EndpointId>,
    /// Nodes that did not relay when they were asked, with the time until which none asks them.
    failed_relays: BTreeMap<NodeId, MonotonicTime>,
    /// Number of connections that are relayed for other nodes.
    open_relays: u32,
    /// Changes of whether endpoints can be reached that were not taken yet.
    path_changes: Vec<PathChange>,
    /// Whether the node's work, its waiting requests or its observations have changed since the
    /// changes were last taken.
    has_unsent_changes: bool,
    desired: Option<Arc<DesiredState>>,
    peer_secret: Option<Vec<u8>>,
    store_contact: StoreContact,
    missing_endpoints: MissingEndpoints,
    restore_hold: RestoreHold,
    configuration_versions: ConfigurationVersions,
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
            leaving_notices: Vec::new(),
            backoff_changes: Vec::new(),
            crash_suspects: Vec::new(),
            failed_relays: BTreeMap::new(),
            open_relays: 0,
            path_changes: Vec::new(),
            has_unsent_changes: false,
            desired: None,
            peer_secret: None,
            store_contact: StoreContact::default(),
            missing_endpoints: MissingEndpoints::default(),
            restore_hold: RestoreHold::default(),
            configuration_versions: ConfigurationVersions::default(),
        }
    }

    /// Sets the data centre that the node runs in; its endpoints are preferred in a large fleet.
    pub fn set_data_centre(&mut self, data_centre: DataCentreId) {
        self.fleet.set_data_centre(data_centre);
    }

    /// Handles a command of a traffic thread.
    pub fn handle_command(&mut self, command: ControlCommand, now: MonotonicTime) {
        self.has_unsent_changes |= !matches!(command, ControlCommand::Confirm { .. });
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
            ControlCommand::LeavingStated { endpoint } => {
                if self.fleet.record_leaving(&endpoint, now) {
                    self.leaving_notices.push(endpoint);
                }
            },
            ControlCommand::BackoffRequested { endpoint, statement, relayed_by } => {
                let change =
                    self.fleet.record_backoff_request(&endpoint, statement, relayed_by, now);
                self.backoff_changes.extend(change);
            },
            ControlCommand::Confirm { attempt, reply } => {
                // A closed channel means that the call has ended.
                let _ = reply.send(self.fleet.is_still_permitted(attempt, now));
            },
            ControlCommand::PathTried { endpoint, is_reached } => {
                self.record_path(&endpoint, is_reached, now);
            },
            ControlCommand::EndpointRelayed { endpoint } => {
                self.fleet.record_relayed(&endpoint, now);
            },
            ControlCommand::PermitRelay { endpoint, reply } => {
                // A permit that is not received ends when it is dropped.
                let _ = reply.send(self.permit_relay(&endpoint, now));
            },
            ControlCommand::RelayEnded => self.record_relay_ended(),
            ControlCommand::RelayFailed { node } => self.record_relay_failed(node, now),
            ControlCommand::MemoryRefused { endpoint } => {
                self.fleet.record_memory_refused(&endpoint, now);
            },
            ControlCommand::EndpointSilent { endpoint } => {
                self.fleet.record_silence(&endpoint, now);
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
            ControlCommand::RequestBegan { .. } | ControlCommand::Stop { .. } => {},
        }
    }

    /// Applies the load snapshot of another node.
    pub fn apply_peer_snapshot(&mut self, mut snapshot: LoadSnapshot, now: MonotonicTime) {
        if snapshot.node == self.node {
            return;
        }
        self.quarantine.apply_reports(&mut snapshot, now);
        let rates = std::mem::take(&mut snapshot.rates);
        self.rate_changes.extend(self.fleet.apply_rate_reports(rates, now));
        let leaving = std::mem::take(&mut snapshot.leaving);
        self.leaving_notices.extend(self.fleet.apply_leaving_reports(leaving, now));
        self.fleet.apply_backoff_reports(std::mem::take(&mut snapshot.backoffs), now);
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

    /// Takes the notices of what is held after the key-value service came back from a copy.
    pub fn take_hold_notices(&mut self) -> Vec<HoldNotice> {
        self.restore_hold.take_notices()
    }

    /// Takes the notices of endpoints without a record since the last call.
    pub fn take_missing_notices(&mut self) -> Vec<MissingNotice> {
        self.missing_endpoints.take_notices()
    }

    /// Returns whether there are changes to tell other nodes since the last call.
    pub fn take_unsent_changes(&mut self) -> bool {
        std::mem::take(&mut self.has_unsent_changes)
    }

    /// Takes the changes of endpoints' limits since the last call.
    pub fn take_rate_changes(&mut self) -> Vec<RateChange> {
        std::mem::take(&mut self.rate_changes)
    }

    /// Takes the endpoints that are newly known to leave since the last call.
    pub fn take_leaving_notices(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.leaving_notices)
    }

    /// Takes the requested backoffs that began or grew longer since the last call.
    pub fn take_backoff_changes(&mut self) -> Vec<BackoffChange> {
        std::mem::take(&mut self.backoff_changes)
    }

    /// Returns the load snapshot to send to other nodes, under the next sequence number.
    pub fn next_snapshot(&mut self, now: MonotonicTime) -> LoadSnapshot {
        self.sequence += 1;
        let mut snapshot = LoadSnapshot {
            node: Arc::clone(&self.node),
            incarnation: self.incarnation,
            sequence: self.sequence,
            works: self.fleet.work_snapshots(now),
            ranks: self.fleet.rank_snapshots(),
            waits: self.wait_queue.snapshots(now),
            price_waits: self.wait_queue.price_waits(),
            crashes: Vec::new(),
            part_crashes: Vec::new(),
            part_answers: Vec::new(),
            rates: self.fleet.rate_reports(self.sequence, now),
            relay: Some(self.relay_status(now)),
            backoffs: self.fleet.backoff_reports(now),
            leaving: self.fleet.leaving_reports(now),
            wall_clock_us: None,
            relayed: Vec::new(),
        };
        self.quarantine.add_reports(&mut snapshot, now);
        snapshot
    }

    /// Counts the nodes that share limits, if the last count is long enough ago.
    fn update_nodes(&mut self, now: MonotonicTime) {
        if now >= self.next_node_count {
            self.next_node_count = now + NODE_COUNT_INTERVAL;
            self.fleet.set_nodes(&self.registry.names());
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
        version.is_none_or(|version| self.configuration_versions.is_confirmed(version, now))
    }

    /// Returns the quarantined prompt parts that this node records again if the key-value service
    /// has lost them; few nodes do so for all.
    pub fn parts_to_record_again(&self) -> Vec<PromptPartId> {
        let is_recorder = self.registry.index_of(&self.node) < RECORDING_NODES;
        if is_recorder { self.quarantine.recorded_parts() } else { Vec::new() }
    }

    /// Returns since when the key-value service is unreachable, or `None` if it is reachable.
    pub fn store_unreachable_since(&self) -> Option<MonotonicTime> {
        self.store_contact.unreachable_since()
    }

    /// Returns the number of failed calls of the key-value service since its last answer.
    pub fn failed_store_calls(&self) -> u32 {
        self.store_contact.failures()
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

//! The control state of a node: it has no clock, socket or thread of its own.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::CrashHistory;
use apricotknot_core::fleet::CrashReport;
use apricotknot_core::fleet::FleetState;
use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::PlacementDecision;
use apricotknot_core::fleet::PlacementPlan;
use apricotknot_core::fleet::PlacementQuery;
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
use super::RegistryChange;
use super::StoreNews;
use super::wait_queue::PlacementSender;
use super::wait_queue::WaitQueue;
use super::wait_queue::WaitingRequest;
use crate::protocol::RecordChange;

/// Time after the key-value service is back in which endpoints announce themselves again.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Longest time from a broken connection to the sign that its endpoint has crashed.
const SUSPECT_TIME: Duration = Duration::from_secs(6);

/// Time after which a request that crashes endpoints may be tried again.
const CONDEMNED_RETRY: Duration = Duration::from_secs(30);

/// Time after which a request whose repeat was not allowed may come again.
const REPEAT_RETRY: Duration = Duration::from_secs(1);

/// Holds the limits that all nodes keep together.
#[derive(Clone, Debug)]
pub struct StateLimits {
    /// Repeats that all nodes together may send.
    pub retries: RetryPolicy,
}

/// Holds what a node knows, and decides where its requests go.
#[derive(Debug)]
pub struct ControlState {
    /// Leads back to this state, for the ends of grants.
    handle: ControlHandle,
    node: NodeId,
    incarnation: u64,
    sequence: u64,
    limits: StateLimits,
    board: FleetState,
    registry: NodeRegistry,
    crashes: CrashHistory,
    /// Requests whose connections broke, with the endpoints that may have crashed.
    suspects: Vec<(MonotonicTime, CrashReport)>,
    windows: BTreeMap<ServiceId, RetryLimiter>,
    waiting: WaitQueue,
    desired: Option<Arc<DesiredState>>,
    secret: Option<Vec<u8>>,
    is_store_lost: bool,
    store_back_at: Option<MonotonicTime>,
    /// Endpoints that are no longer announced, but may be again shortly.
    missing: BTreeMap<EndpointId, MonotonicTime>,
}

// Commands.
impl ControlState {
    /// Creates the state of a node that knows nothing yet.
    pub fn new(
        handle: ControlHandle,
        node: NodeId,
        incarnation: u64,
        regions: BTreeMap<DataCentreId, RegionId>,
        limits: StateLimits,
    ) -> Self {
        Self {
            handle,
            board: FleetState::new(&node, regions),
            node,
            incarnation,
            sequence: 0,
            limits,
            registry: NodeRegistry::default(),
            crashes: CrashHistory::default(),
            suspects: Vec::new(),
            windows: BTreeMap::new(),
            waiting: WaitQueue::default(),
            desired: None,
            secret: None,
            is_store_lost: false,
            store_back_at: None,
            missing: BTreeMap::new(),
        }
    }

    /// Takes in a command of a traffic thread.
    pub fn handle(&mut self, command: ControlCommand, now: MonotonicTime) {
        match command {
            ControlCommand::Place { request, reply } => self.ask(request, reply, now),
            ControlCommand::Writing { attempt, endpoint, pace } => {
                self.board.record_first_event(attempt, now);
                self.board.record_slowdown(&endpoint, pace, now);
            },
            ControlCommand::Ended { attempt, end } => self.end(attempt, end, now),
            ControlCommand::Crashed { fingerprint, endpoint } => {
                self.suspects.push((now, CrashReport { fingerprint, endpoint }));
            },
            ControlCommand::Cleared { fingerprint } => {
                self.suspects.retain(|(_, note)| note.fingerprint != fingerprint);
                self.crashes.clear(fingerprint);
            },
            ControlCommand::Stop { .. } => {},
        }
    }

    /// Takes in all that the key-value service holds; returns a configuration to put in force.
    pub fn load(&mut self, news: StoreNews, now: MonotonicTime) -> Option<Arc<DesiredState>> {
        self.note_store(now);
        let mut endpoints = BTreeSet::new();
        let mut centres_out = BTreeSet::new();
        for record in &news.records {
            match record {
                RecordChange::Endpoint(entry) => _ = endpoints.insert(Arc::clone(&entry.id)),
                RecordChange::CentreOut(centre) => _ = centres_out.insert(Arc::clone(centre)),
                _ => {},
            }
        }
        let known = self.board.endpoints().map(|state| &state.entry.id);
        let gone: Vec<_> = known.filter(|id| !endpoints.contains(*id)).cloned().collect();
        for endpoint in gone {
            self.lose_endpoint(endpoint, now);
        }
        let known = self.board.evacuated();
        let back: Vec<_> = known.filter(|id| !centres_out.contains(*id)).cloned().collect();
        for centre in back {
            self.board.set_evacuated(centre, false, now);
        }
        let present = news.registry.iter().filter_map(|change| match change {
            RegistryChange::Node(node, _) => Some(Arc::clone(node)),
            _ => None,
        });
        self.registry.retain(&present.collect::<Vec<_>>(), now);
        self.apply(news, now)
    }

    /// Takes in changes; returns a configuration to put in force.
    pub fn apply(&mut self, news: StoreNews, now: MonotonicTime) -> Option<Arc<DesiredState>> {
        self.note_store(now);
        for change in news.registry {
            self.apply_registry(change, now);
        }
        let mut newest = None;
        for record in news.records {
            newest = self.apply_record(record, now).or(newest);
        }
        newest
    }

    /// Notes that the key-value service cannot be reached; returns whether it could before.
    pub fn lose_store(&mut self) -> bool {
        !std::mem::replace(&mut self.is_store_lost, true)
    }

    /// Takes in what another node tells.
    pub fn learn(&mut self, mut news: LoadSnapshot, now: MonotonicTime) {
        if news.node == self.node {
            return;
        }
        for note in std::mem::take(&mut news.crashes) {
            self.crashes.apply_report(note, now);
        }
        self.board.apply_snapshot(news, now);
    }

    /// Lets time pass, and tries again to place what waits.
    pub fn tick(&mut self, now: MonotonicTime) {
        self.board.remove_stale_peers(now);
        self.registry.expire(now);
        self.board.set_node_count(self.registry.count());
        self.drop_missing(now);
        self.place_waiting(now);
    }

    /// Returns what other nodes are to be told.
    pub fn take_news(&mut self, now: MonotonicTime) -> LoadSnapshot {
        self.sequence += 1;
        LoadSnapshot {
            node: Arc::clone(&self.node),
            incarnation: self.incarnation,
            sequence: self.sequence,
            works: self.board.work_snapshots(now),
            waits: self.waiting.news(now),
            crashes: self.crashes.recent_reports(now),
        }
    }

    fn ask(&mut self, request: Box<PlacementRequest>, reply: PlacementSender, now: MonotonicTime) {
        if self.crashes.is_quarantined(request.fingerprint, now) {
            let reason = "crashes endpoints";
            let _ = reply.send(Err(PlacementRefusal { reason, retry_after: CONDEMNED_RETRY }));
            return;
        }
        let nodes = self.registry.count();
        let window = self.windows.entry(Arc::clone(&request.ask.service)).or_default();
        if !request.is_repeat {
            window.record_request(&self.limits.retries, now);
        } else if !window.try_retry(&self.limits.retries, nodes, now) {
            let reason = "retry budget spent";
            let _ = reply.send(Err(PlacementRefusal { reason, retry_after: REPEAT_RETRY }));
            return;
        }
        let waiting = WaitingRequest { request, reply };
        let rank = self.rank(&waiting.request.ask, now);
        if let Some(waiting) = self.try_place(waiting, rank, now) {
            self.waiting.push(waiting);
        }
    }

    fn place_waiting(&mut self, now: MonotonicTime) {
        for request in self.waiting.take_all(now) {
            let rank = self.rank(&request.request.ask, now);
            if let Some(request) = self.try_place(request, rank, now) {
                self.waiting.push(request);
            }
        }
    }

    /// Counts the requests that come before `ask`: older ones, at any node, that are no larger.
    fn rank(&self, ask: &PlacementQuery, now: MonotonicTime) -> usize {
        let age = now.saturating_sub(ask.arrived);
        let peers = self
            .board
            .peer_waits(now)
            .filter(|(_, prompt, waited)| *waited > age && *prompt <= ask.size.prompt);
        self.waiting.count_before(ask) + peers.count()
    }

    /// Places a request if it can be; returns it if it has to wait.
    fn try_place(
        &mut self,
        waiting: WaitingRequest,
        rank: usize,
        now: MonotonicTime,
    ) -> Option<WaitingRequest> {
        match place(&self.board, &waiting.request.ask, rank, now) {
            PlacementDecision::Wait if waiting.request.may_wait => return Some(waiting),
            PlacementDecision::Wait => {
                let refusal = PlacementRefusal { reason: "no room", retry_after: REPEAT_RETRY };
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
            |endpoint: &EndpointId| self.board.endpoint(endpoint).map(|state| state.entry.address);
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
        self.board.record_start(attempt, &waiting.request.ask, &plan, now);
        let (endpoint, expected) = (plan.endpoint, plan.expected_start);
        let guard = AttemptGuard::new(self.handle.clone(), attempt);
        let grant = EndpointGrant { guard, endpoint, address, helpers, expected };
        // A grant that nobody takes ends as it is dropped.
        let _ = waiting.reply.send(Ok(grant));
    }

    fn end(&mut self, attempt: AttemptId, end: AttemptEnd, now: MonotonicTime) {
        let runner = self.board.runner(attempt).cloned();
        self.board.record_end(attempt, end, now);
        if let Some(endpoint) = runner.filter(|_| end == AttemptEnd::Unreachable) {
            self.confirm_crash(&endpoint, now);
        }
    }

    /// Holds the end of an endpoint against the requests whose connections it broke before.
    ///
    /// A broken connection alone does not show that the endpoint has crashed.
    fn confirm_crash(&mut self, endpoint: &str, now: MonotonicTime) {
        self.suspects.retain(|(at, _)| *at + SUSPECT_TIME > now);
        let suspects = std::mem::take(&mut self.suspects);
        let (crashed, others) =
            suspects.into_iter().partition(|(_, note)| *note.endpoint == *endpoint);
        self.suspects = others;
        let crashed: Vec<(MonotonicTime, CrashReport)> = crashed;
        for (_, note) in crashed {
            self.crashes.record(note, now);
        }
    }

    fn apply_registry(&mut self, change: RegistryChange, now: MonotonicTime) {
        match change {
            RegistryChange::Node(node, record) => self.registry.set(node, record),
            RegistryChange::NodeGone(node) => self.registry.remove(&node, now),
            RegistryChange::Secret(secret) => self.secret = Some(secret),
        }
    }

    fn apply_record(
        &mut self,
        record: RecordChange,
        now: MonotonicTime,
    ) -> Option<Arc<DesiredState>> {
        match record {
            RecordChange::Configuration(desired) => return self.apply_desired(*desired),
            RecordChange::Endpoint(entry) => {
                self.missing.remove(&entry.id);
                let known = self.board.endpoint(&entry.id).map(|state| state.entry.incarnation);
                if known.is_some_and(|incarnation| incarnation != entry.incarnation) {
                    self.confirm_crash(&entry.id, now);
                }
                self.board.set_endpoint(entry);
            },
            RecordChange::EndpointGone(endpoint) => {
                self.confirm_crash(&endpoint, now);
                self.lose_endpoint(endpoint, now);
            },
            RecordChange::CentreOut(centre) => self.board.set_evacuated(centre, true, now),
            RecordChange::CentreBack(centre) => self.board.set_evacuated(centre, false, now),
        }
        None
    }

    /// Puts a configuration in force unless a newer one is.
    fn apply_desired(&mut self, desired: DesiredState) -> Option<Arc<DesiredState>> {
        if self.desired.as_ref().is_some_and(|known| known.version >= desired.version) {
            return None;
        }
        self.board.set_services(desired.services.clone());
        let desired = Arc::new(desired);
        self.desired = Some(Arc::clone(&desired));
        Some(desired)
    }

    fn note_store(&mut self, now: MonotonicTime) {
        if std::mem::replace(&mut self.is_store_lost, false) {
            self.store_back_at = Some(now);
        }
    }

    /// Removes an endpoint, or waits for it to come back where the service has just come back.
    fn lose_endpoint(&mut self, endpoint: EndpointId, now: MonotonicTime) {
        match self.store_back_at.map(|back| back + RETURN_TIME).filter(|end| *end > now) {
            Some(end) => _ = self.missing.entry(endpoint).or_insert(end),
            None => self.board.remove_endpoint(&endpoint),
        }
    }

    fn drop_missing(&mut self, now: MonotonicTime) {
        let over: Vec<EndpointId> = self
            .missing
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(endpoint, _)| Arc::clone(endpoint))
            .collect();
        for endpoint in over {
            self.missing.remove(&endpoint);
            self.board.remove_endpoint(&endpoint);
        }
    }
}

// Queries.
impl ControlState {
    /// Returns the endpoints and the work at them.
    pub fn board(&self) -> &FleetState {
        &self.board
    }

    /// Returns the nodes of the system.
    pub fn registry(&self) -> &NodeRegistry {
        &self.registry
    }

    /// Returns the secret with which nodes sign, where it is known.
    pub fn secret(&self) -> Option<&[u8]> {
        self.secret.as_deref()
    }

    /// Returns whether any request waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}

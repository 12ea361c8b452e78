//! Plays nodes that place calls at endpoints which state limits of their request rate.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::RateStatement;
use apricotknot_core::fleet::RequestSize;
use apricotknot_core::fleet::RetryPolicy;
use apricotknot_core::routing::DesiredState;
use apricotknot_core::routing::ServiceProfile;
use apricotknot_core::types::EndpointId;
use apricotknot_gateway::control::ControlCommand;
use apricotknot_gateway::control::ControlHandle;
use apricotknot_gateway::control::ControlState;
use apricotknot_gateway::control::EndpointGrant;
use apricotknot_gateway::control::FleetLimits;
use apricotknot_gateway::control::NodeRecord;
use apricotknot_gateway::control::PlacementRefusal;
use apricotknot_gateway::control::RegistryChange;
use apricotknot_gateway::control::StoreUpdate;
use apricotknot_gateway::protocol::RecordChange;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::engine_entry;
use super::placement_request;

/// Time at which each play begins.
pub(crate) const START: Duration = Duration::from_secs(100);

/// Step of the play.
const STEP: Duration = Duration::from_millis(20);

/// Time from the start of an attempt until the head of its answer arrives.
const HEAD_TIME: Duration = Duration::from_millis(60);

/// Time from the start of an attempt until its answer is complete.
const ATTEMPT_TIME: Duration = Duration::from_millis(300);

/// Interval between two load snapshots of a node.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(100);

/// Time from the first limited answer of a node from which its requests count.
const KNOWLEDGE_TIME: Duration = Duration::from_millis(500);

type PlacementReceiver = oneshot::Receiver<Result<EndpointGrant, PlacementRefusal>>;

/// One node of the play.
pub(crate) struct PlayedNode {
    pub(crate) state: ControlState,
    /// Receives the commands of dropped grants.
    commands: mpsc::UnboundedReceiver<ControlCommand>,
    waiting: Vec<PlacementReceiver>,
    /// Whether other nodes receive the snapshots of this node, and it theirs.
    pub(crate) is_connected: bool,
    /// Whether callers send requests to this node.
    pub(crate) has_callers: bool,
}

/// An attempt that an endpoint runs.
struct PlayedAttempt {
    node: usize,
    began: Duration,
    grant: EndpointGrant,
    statement: Option<RateStatement>,
}

/// Records one request that reached an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) node: usize,
    pub(crate) endpoint: EndpointId,
}

/// A fleet of nodes, and the endpoints at which they place calls.
pub(crate) struct RateFleet {
    pub(crate) nodes: Vec<PlayedNode>,
    pub(crate) now: Duration,
    /// What the answers of each endpoint state; those without an entry state no limit.
    pub(crate) statements: BTreeMap<EndpointId, RateStatement>,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) refusals: Vec<PlacementRefusal>,
    attempts: Vec<PlayedAttempt>,
    /// Requests of each second, all nodes together.
    pub(crate) rate: f64,
    due: f64,
    next_id: u64,
    endpoints: usize,
}

impl PlayedNode {
    /// Requests an endpoint; returns the grant if there is one at once.
    pub(crate) fn place_one(&mut self, id: u64, now: Duration) -> Option<EndpointGrant> {
        self.request(id, now).try_recv().ok()?.ok()
    }

    /// Returns whether the node confirms an attempt that it has granted.
    pub(crate) fn confirms(&mut self, attempt: u128, now: Duration) -> bool {
        let (reply, mut answer) = oneshot::channel();
        self.state.handle_command(ControlCommand::Confirm { attempt, reply }, now);
        answer.try_recv().expect("an answer")
    }

    fn request(&mut self, id: u64, now: Duration) -> PlacementReceiver {
        let request = Box::new(placement_request(id, RequestSize::default(), now));
        let (reply, receiver) = oneshot::channel();
        self.state.handle_command(ControlCommand::Place { request, reply }, now);
        receiver
    }
}

impl RateFleet {
    /// Creates `nodes` nodes that know one another, and `endpoints` endpoints.
    pub(crate) fn new(nodes: usize, endpoints: usize, rate: f64) -> Self {
        let nodes = (0..nodes).map(|index| new_node(index, nodes, endpoints)).collect();
        Self {
            nodes,
            now: START,
            statements: BTreeMap::new(),
            arrivals: Vec::new(),
            refusals: Vec::new(),
            attempts: Vec::new(),
            rate,
            due: 0.0,
            next_id: 0,
            endpoints,
        }
    }

    /// Sets what the answers of an endpoint state from now on.
    pub(crate) fn state_limit(&mut self, endpoint: usize, statement: RateStatement) {
        self.statements.insert(endpoint_id(endpoint), statement);
    }

    /// Replaces a node by one that knows no limit.
    pub(crate) fn restart(&mut self, node: usize) {
        self.nodes[node] = new_node(node, self.nodes.len(), self.endpoints);
    }

    /// Plays for `length`.
    pub(crate) fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            self.submit();
            self.answer();
            self.exchange();
            for index in 0..self.nodes.len() {
                self.tick(index);
            }
        }
    }

    /// Returns the requests that reached an endpoint in the last `length`.
    pub(crate) fn recent(&self, endpoint: usize, length: Duration) -> usize {
        let id = endpoint_id(endpoint);
        let since = self.now - length;
        self.arrivals.iter().filter(|arrival| arrival.endpoint == id && arrival.at > since).count()
    }

    /// Returns the most requests that reached an endpoint in any `window` from `since` on.
    pub(crate) fn peak(&self, endpoint: usize, window: Duration, since: Duration) -> usize {
        let id = endpoint_id(endpoint);
        let times: Vec<Duration> = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.endpoint == id && arrival.at >= since)
            .map(|arrival| arrival.at)
            .collect();
        let in_window =
            |end: &Duration| times.iter().filter(|at| *at <= end && **at + window > *end).count();
        times.iter().map(in_window).max().unwrap_or(0)
    }

    fn submit(&mut self) {
        let callers: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].has_callers).collect();
        self.due += self.rate * STEP.as_secs_f64();
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.next_id += 1;
            let pick = usize::try_from(self.next_id * 7_919 % 104_729).unwrap_or(0);
            let node = callers[pick % callers.len()];
            let receiver = self.nodes[node].request(self.next_id, self.now);
            self.nodes[node].waiting.push(receiver);
            self.collect(node);
        }
    }

    /// Starts the attempts that the node has granted, and counts its refusals.
    fn collect(&mut self, node: usize) {
        for mut receiver in std::mem::take(&mut self.nodes[node].waiting) {
            match receiver.try_recv() {
                Ok(Ok(grant)) => {
                    let endpoint = Arc::clone(&grant.endpoint);
                    self.arrivals.push(Arrival { at: self.now, node, endpoint });
                    let statement = None;
                    self.attempts.push(PlayedAttempt { node, began: self.now, grant, statement });
                },
                Ok(Err(refusal)) => self.refusals.push(refusal),
                Err(_) => self.nodes[node].waiting.push(receiver),
            }
        }
    }

    /// Delivers the heads of answers, and ends attempts.
    fn answer(&mut self) {
        let now = self.now;
        for attempt in &mut self.attempts {
            if attempt.statement.is_some() || now < attempt.began + HEAD_TIME {
                continue;
            }
            let endpoint = &attempt.grant.endpoint;
            let statement = self.statements.get(endpoint).copied().unwrap_or_default();
            attempt.statement = Some(statement);
            let command = ControlCommand::RateStated {
                endpoint: Arc::clone(endpoint),
                statement,
                sent_at: attempt.began,
            };
            self.nodes[attempt.node].state.handle_command(command, now);
        }
        self.attempts.retain_mut(|attempt| {
            let is_over = attempt.began + ATTEMPT_TIME <= now;
            if is_over {
                attempt.grant.guard.set_end(AttemptEnd::Answered);
            }
            !is_over
        });
    }

    fn exchange(&mut self) {
        let steps = SNAPSHOT_INTERVAL.as_millis() / STEP.as_millis();
        let step = (self.now - START).as_millis() / STEP.as_millis();
        if !step.is_multiple_of(steps) {
            return;
        }
        let now = self.now;
        let connected = self.nodes.iter_mut().filter(|node| node.is_connected);
        let snapshots: Vec<LoadSnapshot> =
            connected.map(|node| node.state.next_snapshot(now)).collect();
        for node in self.nodes.iter_mut().filter(|node| node.is_connected) {
            for snapshot in &snapshots {
                node.state.apply_peer_snapshot(snapshot.clone(), now);
            }
        }
    }

    fn tick(&mut self, node: usize) {
        while let Ok(command) = self.nodes[node].commands.try_recv() {
            self.nodes[node].state.handle_command(command, self.now);
        }
        self.nodes[node].state.tick(self.now);
        self.collect(node);
    }

    /// Returns the time from which the requests of each node count against the limit of `endpoint`.
    pub(crate) fn settled_at(&self, endpoint: usize) -> Duration {
        let id = endpoint_id(endpoint);
        let first = self.arrivals.iter().find(|arrival| arrival.endpoint == id);
        first.map_or(START, |arrival| arrival.at) + HEAD_TIME + KNOWLEDGE_TIME
    }
}

fn new_node(index: usize, nodes: usize, endpoints: usize) -> PlayedNode {
    let (sender, commands) = mpsc::unbounded_channel();
    let retries = RetryPolicy { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
    let mut state = ControlState::new(
        ControlHandle::new(sender),
        node_id(index).into(),
        1,
        BTreeMap::from([("north".into(), "here".into())]),
        FleetLimits { retries },
    );
    let records =
        (0..endpoints).map(|index| RecordChange::EndpointAnnounced(engine_entry(index, 16)));
    let services = BTreeMap::from([("model".into(), ServiceProfile::default())]);
    let desired = DesiredState { version: 1, services, ..DesiredState::default() };
    let configuration = RecordChange::Configuration(Box::new(desired));
    let registry_changes = (0..nodes).map(|index| {
        let record = NodeRecord {
            address: ([127, 0, 0, 1], 7_000).into(),
            incarnation: 1,
            data_centre: None,
        };
        RegistryChange::NodeAnnounced(node_id(index).into(), record)
    });
    let update = StoreUpdate {
        record_changes: records.chain([configuration]).collect(),
        registry_changes: registry_changes.collect(),
        ..StoreUpdate::default()
    };
    state.apply_snapshot(update, START);
    state.tick(START);
    PlayedNode { state, commands, waiting: Vec::new(), is_connected: true, has_callers: true }
}

fn node_id(index: usize) -> String {
    format!("node-{index}")
}

fn endpoint_id(index: usize) -> EndpointId {
    format!("engine-{index}").into()
}

//! Simulates random arrivals, with a fixed seed, against the real placement and a simple engine
//! model.
//!
//! In the model, each engine runs its prefills one after the other and decodes streams
//! concurrently.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::EndpointPhase;
use apricotknot_core::fleet::EngineModel;
use apricotknot_core::fleet::FleetState;
use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::PlacementDecision;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::QueuePosition;
use apricotknot_core::fleet::RequestSize;
use apricotknot_core::fleet::place;
use apricotknot_core::routing::ServiceProfile;
use apricotknot_core::types::NodeId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(2);

/// Size and time limits of one kind of request.
pub(crate) struct RequestKind {
    pub(crate) prompt: u64,
    pub(crate) output: u64,
    pub(crate) target_latency: Duration,
    pub(crate) pause_limit: Duration,
    pub(crate) deadline: Duration,
}

pub(crate) const TICKET: RequestKind = RequestKind {
    prompt: 5_000,
    output: 1_360,
    target_latency: Duration::from_millis(300),
    pause_limit: Duration::from_millis(250),
    deadline: Duration::from_secs(10),
};

pub(crate) const ARCHIVE: RequestKind = RequestKind {
    prompt: 133_000,
    output: 680,
    target_latency: Duration::from_secs(3),
    pause_limit: Duration::from_secs(1),
    deadline: Duration::from_secs(15),
};

/// Counts the outcomes of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindOutcomes {
    pub(crate) submitted: u32,
    pub(crate) on_time: u32,
    pub(crate) served: u32,
}

impl KindOutcomes {
    pub(crate) fn on_time_rate(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.submitted.max(1))
    }

    pub(crate) fn served_rate(&self) -> f64 {
        f64::from(self.served) / f64::from(self.submitted.max(1))
    }
}

pub(crate) fn model() -> EngineModel {
    EngineModel {
        slots: 16,
        memory: 232_000,
        step_ms: 1.02,
        stream_ms: 0.002_26,
        context_ms: 0.004_31,
        prefill_rate: 206.0,
        attention_ms: 0.138,
        steps_per_event: 43,
    }
}

pub(crate) fn endpoint_entry(index: usize) -> EndpointEntry {
    EndpointEntry {
        id: format!("engine-{index}").into(),
        incarnation: 1,
        service: "model".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: data_centre_of(index).into(),
        slots: 16,
        phase: EndpointPhase::Ready,
        cold_until: Duration::ZERO,
    }
}

pub(crate) fn fleet_state(engines: usize) -> FleetState {
    fleet_state_of("node-0", engines)
}

fn fleet_state_of(node: &str, engines: usize) -> FleetState {
    let regions = (0..3).map(|index| (format!("centre-{index}").into(), "here".into()));
    let mut fleet_state = FleetState::new(node, regions.collect());
    let profile = ServiceProfile {
        cold_time: Duration::from_secs(3),
        cold_rate: 26.0,
        engine: Some(model()),
        scaling: None,
    };
    fleet_state.set_services(BTreeMap::from([("model".into(), profile)]));
    for index in 0..engines {
        fleet_state.set_endpoint(endpoint_entry(index));
    }
    fleet_state
}

pub(crate) fn query(kind: &RequestKind, now: Duration) -> PlacementQuery {
    PlacementQuery {
        service: "model".into(),
        size: RequestSize {
            prompt: kind.prompt,
            expected_output: kind.output,
            max_output: kind.output,
        },
        regions: None,
        excluded: Vec::new(),
        arrived: now,
        target_latency: kind.target_latency,
        pause_limit: kind.pause_limit,
        deadline: now + kind.deadline,
        rank: 0,
        price_share: 1.0,
    }
}

struct WaitingRequest {
    name: &'static str,
    node: usize,
    query: PlacementQuery,
}

struct RunningAttempt {
    name: &'static str,
    node: usize,
    attempt: u128,
    arrived: Duration,
    target_latency: Duration,
    first_event_at: Duration,
    ends_at: Duration,
    has_started: bool,
}

/// A load snapshot on its way to some of the nodes.
struct SnapshotDelivery {
    at: Duration,
    sender: usize,
    is_distant: bool,
    snapshot: LoadSnapshot,
}

/// Simulates the requests of a fleet of several nodes.
pub(crate) struct FleetSimulation {
    now: Duration,
    fleet_states: Vec<FleetState>,
    /// Load snapshots in transit.
    in_transit: Vec<SnapshotDelivery>,
    /// Delay of a load snapshot between nodes.
    snapshot_delay: Duration,
    /// Delay of a load snapshot between nodes of different data centres.
    distant_delay: Duration,
    /// Times at which the slots in use at each engine become free; unlimited slots if `None`.
    slot_ends: Option<BTreeMap<String, Vec<Duration>>>,
    /// Time at which each engine has completed its prefills.
    prefill_ends: BTreeMap<String, Duration>,
    waiting: Vec<WaitingRequest>,
    running: Vec<RunningAttempt>,
    outcomes: BTreeMap<&'static str, KindOutcomes>,
    random: StdRng,
    next_attempt: u128,
}

impl FleetSimulation {
    pub(crate) fn new(engines: usize, nodes: usize, snapshot_delay: Duration) -> Self {
        let names: Vec<NodeId> = (0..nodes).map(|node| format!("node-{node}").into()).collect();
        let fleet_states = (0..nodes).map(|node| {
            let mut fleet_state = fleet_state_of(&format!("node-{node}"), engines);
            fleet_state.set_nodes(&names);
            fleet_state
        });
        Self {
            now: Duration::from_secs(100),
            fleet_states: fleet_states.collect(),
            in_transit: Vec::new(),
            snapshot_delay,
            distant_delay: snapshot_delay,
            slot_ends: None,
            prefill_ends: BTreeMap::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            outcomes: BTreeMap::new(),
            random: StdRng::seed_from_u64(11),
            next_attempt: 0,
        }
    }

    /// Makes snapshots take `distant_delay` between data centres, and requests queue at engines all
    /// of whose slots are in use.
    pub(crate) fn with_distance(mut self, distant_delay: Duration) -> Self {
        for (node, fleet_state) in self.fleet_states.iter_mut().enumerate() {
            fleet_state.set_data_centre(data_centre_of(node).into());
        }
        self.distant_delay = distant_delay;
        self.slot_ends = Some(BTreeMap::new());
        self
    }

    /// Runs the simulation for `time`; `rates` holds the requests per second of each kind.
    pub(crate) fn run(&mut self, time: Duration, rates: &BTreeMap<&'static str, f64>) {
        let end = self.now + time;
        while self.now < end {
            for (name, rate) in rates {
                if self.random.random_bool(rate * STEP.as_secs_f64()) {
                    self.submit(name);
                }
            }
            self.step();
        }
    }

    pub(crate) fn outcomes(&self, name: &str) -> KindOutcomes {
        self.outcomes.get(name).copied().unwrap_or_default()
    }

    fn submit(&mut self, name: &'static str) {
        let kind = if name == "ticket" { &TICKET } else { &ARCHIVE };
        let node = self.random.random_range(0..self.fleet_states.len());
        let mut query = query(kind, self.now);
        // Prompt sizes vary by up to half in both directions.
        query.size.prompt = (kind.prompt as f64 * self.random.random_range(0.5..1.5)) as u64;
        self.outcomes.entry(name).or_default().submitted += 1;
        self.waiting.push(WaitingRequest { name, node, query });
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        let mut is_changed = vec![false; self.fleet_states.len()];
        self.progress(&mut is_changed);
        let waiting = std::mem::take(&mut self.waiting);
        for request in waiting {
            let position = QueuePosition::default();
            let fleet_state = &self.fleet_states[request.node];
            let decision = place(fleet_state, &request.query, position, self.now).decision;
            match decision {
                PlacementDecision::Wait => self.waiting.push(request),
                PlacementDecision::Refuse { .. } => {},
                PlacementDecision::Send(plan) => {
                    is_changed[request.node] = true;
                    self.start(request, &plan);
                },
            }
        }
        for (node, _) in is_changed.iter().enumerate().filter(|(_, is_changed)| **is_changed) {
            self.broadcast_load(node);
        }
    }

    fn start(&mut self, request: WaitingRequest, plan: &apricotknot_core::fleet::PlacementPlan) {
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        self.fleet_states[request.node].record_start(attempt, &request.query, plan, self.now);
        let helpers = plan.helpers.iter().map(|part| part.endpoint.to_string());
        let mut prefill_end = self.slot_free_at(&plan.endpoint);
        for endpoint in helpers.chain([plan.endpoint.to_string()]) {
            let end = self.prefill_ends.entry(endpoint).or_default();
            *end = (*end).max(self.now) + plan.prefill_time;
            prefill_end = prefill_end.max(*end);
        }
        let size = request.query.size;
        let first_event_at = prefill_end + model().event_interval(8, size.prompt + 40_000);
        let events = size.expected_output as f64 / 43.0;
        let ends_at =
            first_event_at + model().event_interval(8, size.prompt + 40_000).mul_f64(events);
        if let Some(slot_ends) = &mut self.slot_ends {
            slot_ends.entry(plan.endpoint.to_string()).or_default().push(ends_at);
        }
        self.running.push(RunningAttempt {
            name: request.name,
            node: request.node,
            attempt,
            arrived: request.query.arrived,
            target_latency: request.query.target_latency,
            first_event_at,
            ends_at,
            has_started: false,
        });
    }

    /// Returns the time from which `engine` has a free slot for one more request.
    fn slot_free_at(&mut self, engine: &str) -> Duration {
        let now = self.now;
        let Some(ends) = self.slot_ends.as_mut().and_then(|ends| ends.get_mut(engine)) else {
            return now;
        };
        ends.retain(|end| *end > now);
        ends.sort_unstable();
        let slots = usize::try_from(model().slots).unwrap_or(usize::MAX);
        let queued = ends.len().checked_sub(slots);
        queued.and_then(|queued| ends.get(queued)).copied().unwrap_or(now)
    }

    fn progress(&mut self, is_changed: &mut [bool]) {
        let now = self.now;
        for running in &mut self.running {
            if !running.has_started && running.first_event_at <= now {
                running.has_started = true;
                is_changed[running.node] = true;
                self.fleet_states[running.node].record_first_event(running.attempt, now);
                let outcomes = self.outcomes.entry(running.name).or_default();
                outcomes.served += 1;
                outcomes.on_time += u32::from(now - running.arrived <= running.target_latency);
            }
            if running.ends_at <= now {
                is_changed[running.node] = true;
                self.fleet_states[running.node].record_end(
                    running.attempt,
                    AttemptEnd::Answered,
                    now,
                );
            }
        }
        self.running.retain(|running| running.ends_at > now);
    }

    fn broadcast_load(&mut self, node: usize) {
        let snapshot = LoadSnapshot {
            node: format!("node-{node}").into(),
            incarnation: 1,
            sequence: u64::try_from(self.now.as_micros()).unwrap_or(u64::MAX),
            works: self.fleet_states[node].work_snapshots(self.now),
            ranks: self.fleet_states[node].rank_snapshots(),
            ..LoadSnapshot::default()
        };
        for (is_distant, delay) in [(false, self.snapshot_delay), (true, self.distant_delay)] {
            let at = self.now + delay;
            let snapshot = snapshot.clone();
            self.in_transit.push(SnapshotDelivery { at, sender: node, is_distant, snapshot });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|delivery| delivery.at <= now);
        self.in_transit = later;
        let due: Vec<SnapshotDelivery> = due;
        for delivery in due {
            let centre = data_centre_of(delivery.sender);
            for (node, fleet_state) in self.fleet_states.iter_mut().enumerate() {
                let is_distant = data_centre_of(node) != centre;
                if node != delivery.sender && is_distant == delivery.is_distant {
                    fleet_state.apply_snapshot(delivery.snapshot.clone(), now);
                }
            }
        }
    }
}

fn data_centre_of(index: usize) -> String {
    format!("centre-{}", index % 3)
}

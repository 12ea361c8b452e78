//! Plays seeded arrivals against the real placement decision and a plain model of engines.
//!
//! The model takes reads one after the other at each engine; streams are written beside them.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::EndpointPhase;
use apricotknot_core::fleet::EngineModel;
use apricotknot_core::fleet::FleetBoard;
use apricotknot_core::fleet::LoadNews;
use apricotknot_core::fleet::PlacementAsk;
use apricotknot_core::fleet::PlacementVerdict;
use apricotknot_core::fleet::WorkSize;
use apricotknot_core::fleet::place;
use apricotknot_core::routing::ServiceProfile;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Step of the played time.
const STEP: Duration = Duration::from_millis(2);

/// One kind of request.
pub(crate) struct RequestKind {
    pub(crate) prompt: u64,
    pub(crate) output: u64,
    pub(crate) target: Duration,
    pub(crate) pause: Duration,
    pub(crate) deadline: Duration,
}

pub(crate) const TICKET: RequestKind = RequestKind {
    prompt: 5_000,
    output: 1_360,
    target: Duration::from_millis(300),
    pause: Duration::from_millis(250),
    deadline: Duration::from_secs(10),
};

pub(crate) const ARCHIVE: RequestKind = RequestKind {
    prompt: 133_000,
    output: 680,
    target: Duration::from_secs(3),
    pause: Duration::from_secs(1),
    deadline: Duration::from_secs(15),
};

/// Counts what became of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindOutcomes {
    pub(crate) asked: u32,
    pub(crate) on_time: u32,
    pub(crate) served: u32,
}

impl KindOutcomes {
    pub(crate) fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }

    pub(crate) fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

pub(crate) fn model() -> EngineModel {
    EngineModel {
        slots: 16,
        memory: 232_000,
        step_ms: 1.02,
        sequence_ms: 0.002_26,
        context_ms: 0.004_31,
        read_rate: 206.0,
        pairs_ms: 0.138,
        stride: 43,
    }
}

pub(crate) fn entry(index: usize) -> EndpointEntry {
    EndpointEntry {
        id: format!("engine-{index}").into(),
        birth: 1,
        service: "model".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: format!("centre-{}", index % 3).into(),
        slots: 16,
        phase: EndpointPhase::Ready,
        cold_until: Duration::ZERO,
    }
}

pub(crate) fn board(engines: usize) -> FleetBoard {
    board_of("node-0", engines)
}

fn board_of(node: &str, engines: usize) -> FleetBoard {
    let regions = (0..3).map(|index| (format!("centre-{index}").into(), "here".into()));
    let mut board = FleetBoard::new(node, regions.collect());
    let profile = ServiceProfile {
        cold_time: Duration::from_secs(3),
        cold_rate: 26.0,
        engine: Some(model()),
    };
    board.set_services(BTreeMap::from([("model".into(), profile)]));
    for index in 0..engines {
        board.set_endpoint(entry(index));
    }
    board
}

pub(crate) fn ask(kind: &RequestKind, now: Duration) -> PlacementAsk {
    PlacementAsk {
        service: "model".into(),
        size: WorkSize {
            prompt: kind.prompt,
            expected_output: kind.output,
            max_output: kind.output,
        },
        regions: None,
        excluded: Vec::new(),
        arrived: now,
        target_latency: kind.target,
        pause_limit: kind.pause,
        deadline: now + kind.deadline,
    }
}

struct Waiting {
    name: &'static str,
    node: usize,
    ask: PlacementAsk,
}

struct Running {
    name: &'static str,
    node: usize,
    attempt: u128,
    arrived: Duration,
    target: Duration,
    begins: Duration,
    ends: Duration,
    has_begun: bool,
}

/// Plays requests over several nodes.
pub(crate) struct FleetPlay {
    now: Duration,
    boards: Vec<FleetBoard>,
    /// News on its way, with the moment at which it is there.
    news: Vec<(Duration, LoadNews)>,
    /// Time that news takes from node to node.
    news_delay: Duration,
    reads: BTreeMap<String, Duration>,
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    outcomes: BTreeMap<&'static str, KindOutcomes>,
    random: StdRng,
    next_attempt: u128,
}

impl FleetPlay {
    pub(crate) fn new(engines: usize, nodes: usize, news_delay: Duration) -> Self {
        let boards = (0..nodes).map(|node| {
            let mut board = board_of(&format!("node-{node}"), engines);
            board.set_nodes(nodes);
            board
        });
        Self {
            now: Duration::from_secs(100),
            boards: boards.collect(),
            news: Vec::new(),
            news_delay,
            reads: BTreeMap::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            outcomes: BTreeMap::new(),
            random: StdRng::seed_from_u64(11),
            next_attempt: 0,
        }
    }

    /// Plays `time` with so many requests of each kind a second.
    pub(crate) fn run(&mut self, time: Duration, rates: &BTreeMap<&'static str, f64>) {
        let end = self.now + time;
        while self.now < end {
            for (name, rate) in rates {
                if self.random.random_bool(rate * STEP.as_secs_f64()) {
                    self.arrive(name);
                }
            }
            self.step();
        }
    }

    pub(crate) fn outcomes(&self, name: &str) -> KindOutcomes {
        self.outcomes.get(name).copied().unwrap_or_default()
    }

    fn arrive(&mut self, name: &'static str) {
        let kind = if name == "ticket" { &TICKET } else { &ARCHIVE };
        let node = self.random.random_range(0..self.boards.len());
        let mut ask = ask(kind, self.now);
        // Sizes differ by half up and down.
        ask.size.prompt = (kind.prompt as f64 * self.random.random_range(0.5..1.5)) as u64;
        self.outcomes.entry(name).or_default().asked += 1;
        self.waiting.push(Waiting { name, node, ask });
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        let mut is_changed = vec![false; self.boards.len()];
        self.progress(&mut is_changed);
        let waiting = std::mem::take(&mut self.waiting);
        for request in waiting {
            let verdict = place(&self.boards[request.node], &request.ask, 0, self.now);
            match verdict {
                PlacementVerdict::Wait => self.waiting.push(request),
                PlacementVerdict::Refuse { .. } => {},
                PlacementVerdict::Send(plan) => {
                    is_changed[request.node] = true;
                    self.start(request, &plan);
                },
            }
        }
        for (node, _) in is_changed.iter().enumerate().filter(|(_, is_changed)| **is_changed) {
            self.tell(node);
        }
    }

    fn start(&mut self, request: Waiting, plan: &apricotknot_core::fleet::PlacementPlan) {
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        self.boards[request.node].begin(attempt, &request.ask, plan, self.now);
        let helpers = plan.helpers.iter().map(|part| part.endpoint.to_string());
        let mut read_until = self.now;
        for endpoint in helpers.chain([plan.endpoint.to_string()]) {
            let end = self.reads.entry(endpoint).or_default();
            *end = (*end).max(self.now) + plan.read_time;
            read_until = read_until.max(*end);
        }
        let size = request.ask.size;
        let begins = read_until + model().pass_time(8, size.prompt + 40_000);
        let passes = size.expected_output as f64 / 43.0;
        let ends = begins + model().pass_time(8, size.prompt + 40_000).mul_f64(passes);
        self.running.push(Running {
            name: request.name,
            node: request.node,
            attempt,
            arrived: request.ask.arrived,
            target: request.ask.target_latency,
            begins,
            ends,
            has_begun: false,
        });
    }

    fn progress(&mut self, is_changed: &mut [bool]) {
        let now = self.now;
        for run in &mut self.running {
            if !run.has_begun && run.begins <= now {
                run.has_begun = true;
                is_changed[run.node] = true;
                self.boards[run.node].note_writing(run.attempt, now);
                let outcomes = self.outcomes.entry(run.name).or_default();
                outcomes.served += 1;
                outcomes.on_time += u32::from(now - run.arrived <= run.target);
            }
            if run.ends <= now {
                is_changed[run.node] = true;
                self.boards[run.node].end(run.attempt, AttemptEnd::Answered, now);
            }
        }
        self.running.retain(|run| run.ends > now);
    }

    fn tell(&mut self, node: usize) {
        let news = LoadNews {
            node: format!("node-{node}").into(),
            incarnation: 1,
            sequence: u64::try_from(self.now.as_micros()).unwrap_or(u64::MAX),
            works: self.boards[node].work_news(self.now),
            waits: Vec::new(),
            crashes: Vec::new(),
        };
        self.news.push((self.now + self.news_delay, news));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (there, later) =
            std::mem::take(&mut self.news).into_iter().partition(|(at, _)| *at <= now);
        self.news = later;
        let there: Vec<(Duration, LoadNews)> = there;
        for (_, news) in there {
            for (node, board) in self.boards.iter_mut().enumerate() {
                if *format!("node-{node}") != *news.node {
                    board.learn(news.clone(), now);
                }
            }
        }
    }
}

//! A small model of engines that batch continuously.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Prompt tokens that an engine processes in a second.
pub(crate) const PREFILL_RATE: u64 = 20_000;

/// Prompt tokens that an engine processes before it looks for more urgent work.
const CHUNK_TOKENS: u64 = 512;

/// Time from the end of a prompt's processing to its first token.
const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(20);

/// Time between two tokens of an answer.
const TIME_PER_OUTPUT_TOKEN: Duration = Duration::from_millis(25);

/// Key-value cache of one engine, in tokens.
pub(crate) const ENGINE_MEMORY: u64 = 450_000;

/// Most requests that one engine runs at once.
pub(crate) const ENGINE_CONCURRENT: u32 = 64;

/// Describes one request of the benchmark.
#[derive(Clone, Debug)]
pub(crate) struct BenchRequest {
    /// Identifies the request; also its index.
    pub(crate) id: usize,
    /// Index of the account.
    pub(crate) account: usize,
    /// Prompt length, in tokens.
    pub(crate) prompt_tokens: u64,
    /// Answer length, in tokens.
    pub(crate) output_tokens: u64,
    /// Moment of arrival.
    pub(crate) arrives_at: Duration,
}

impl BenchRequest {
    /// Returns the key-value cache that the request holds.
    pub(crate) fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// Returns the time to first token on an idle engine.
    pub(crate) fn idle_first_token_time(&self) -> Duration {
        prefill_time(self.prompt_tokens) + FIRST_TOKEN_DELAY
    }
}

fn prefill_time(tokens: u64) -> Duration {
    Duration::from_micros(tokens * 1_000_000 / PREFILL_RATE)
}

/// Says what happens at a moment.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum FleetEvent {
    /// A request arrives.
    Arrival(usize),
    /// An engine ends a chunk of prompt.
    Chunk(usize),
    /// The first token of a request.
    FirstToken(usize, usize),
    /// The end of a request.
    Finish(usize, usize),
    /// A fixed interval passed.
    Tick,
}

/// Orders events by time.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<(Duration, u64, FleetEvent)>>,
    number: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(crate) fn push(&mut self, at: Duration, event: FleetEvent) {
        self.number += 1;
        self.heap.push(Reverse((at, self.number, event)));
    }

    /// Removes the next event.
    pub(crate) fn pop(&mut self) -> Option<(Duration, FleetEvent)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}

#[derive(Default)]
struct SimulatedEngine {
    /// Waiting prompts by priority and order, with the tokens left.
    waiting: BTreeSet<(u8, u64, usize)>,
    current_chunk: Option<(u8, u64, usize)>,
    held_tokens: u64,
    held_requests: u32,
}

/// Runs granted requests on all engines.
pub(crate) struct SimulatedFleet {
    engines: Vec<SimulatedEngine>,
    prefill_left: Vec<u64>,
    order: u64,
    /// Most tokens by which any engine was over its memory.
    pub(crate) overshoot: u64,
}

impl SimulatedFleet {
    /// Creates idle engines for `requests` requests.
    pub(crate) fn new(engines: usize, requests: &[BenchRequest]) -> Self {
        let prefill_left = requests.iter().map(|request| request.prompt_tokens).collect();
        let engines = (0..engines).map(|_| SimulatedEngine::default()).collect();
        Self { engines, prefill_left, order: 0, overshoot: 0 }
    }

    /// Sends a request to an engine.
    pub(crate) fn send(
        &mut self,
        engine: usize,
        request: &BenchRequest,
        priority: u8,
        now: Duration,
        events: &mut EventQueue,
    ) {
        self.order += 1;
        let simulated = &mut self.engines[engine];
        simulated.held_tokens += request.memory_tokens();
        simulated.held_requests += 1;
        let over = simulated.held_tokens.saturating_sub(ENGINE_MEMORY);
        self.overshoot = self.overshoot.max(over);
        simulated.waiting.insert((priority, self.order, request.id));
        if simulated.current_chunk.is_none() {
            self.next_chunk(engine, now, events);
        }
    }

    /// Ends the chunk that an engine works on.
    pub(crate) fn end_chunk(&mut self, engine: usize, now: Duration, events: &mut EventQueue) {
        let Some(entry) = self.engines[engine].current_chunk.take() else {
            return;
        };
        let request = entry.2;
        let done = self.prefill_left[request].min(CHUNK_TOKENS);
        self.prefill_left[request] -= done;
        if self.prefill_left[request] == 0 {
            events.push(now + FIRST_TOKEN_DELAY, FleetEvent::FirstToken(engine, request));
        } else {
            self.engines[engine].waiting.insert(entry);
        }
        self.next_chunk(engine, now, events);
    }

    /// Starts the answer of a request.
    pub(crate) fn answer(
        &mut self,
        engine: usize,
        request: &BenchRequest,
        now: Duration,
        events: &mut EventQueue,
    ) {
        let tokens = u32::try_from(request.output_tokens).unwrap_or(u32::MAX);
        events.push(now + TIME_PER_OUTPUT_TOKEN * tokens, FleetEvent::Finish(engine, request.id));
    }

    /// Frees what a request held.
    pub(crate) fn finish(&mut self, engine: usize, request: &BenchRequest) {
        self.engines[engine].held_tokens -= request.memory_tokens();
        self.engines[engine].held_requests -= 1;
    }

    /// Returns the tokens and requests that each engine holds.
    pub(crate) fn load(&self) -> Vec<(u64, u32)> {
        let engines = self.engines.iter();
        engines.map(|engine| (engine.held_tokens, engine.held_requests)).collect()
    }

    fn next_chunk(&mut self, engine: usize, now: Duration, events: &mut EventQueue) {
        let simulated = &mut self.engines[engine];
        let Some(entry) = simulated.waiting.pop_first() else {
            return;
        };
        let tokens = self.prefill_left[entry.2].min(CHUNK_TOKENS);
        simulated.current_chunk = Some(entry);
        events.push(now + prefill_time(tokens), FleetEvent::Chunk(engine));
    }
}

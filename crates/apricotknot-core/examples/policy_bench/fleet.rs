//! Simulation of inference engines with continuous batching and chunked prefill.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Prompt tokens that an engine processes per second.
pub(crate) const PREFILL_RATE: u64 = 20_000;

/// Prompt tokens that an engine processes before a more urgent prompt can go first.
const CHUNK_TOKENS: u64 = 512;

/// Time from the end of prefill to the first token.
const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(20);

/// Time between two output tokens of an answer.
const TIME_PER_OUTPUT_TOKEN: Duration = Duration::from_millis(25);

/// Key-value cache of one engine, in tokens.
pub(crate) const ENGINE_MEMORY: u64 = 450_000;

/// Largest number of concurrent requests of one engine.
pub(crate) const ENGINE_CONCURRENT: u32 = 64;

/// Describes one request of the benchmark.
#[derive(Clone, Debug)]
pub(crate) struct BenchRequest {
    /// Id of the request, which is also its index.
    pub(crate) id: usize,
    /// Index of the account.
    pub(crate) account: usize,
    /// Prompt length, in tokens.
    pub(crate) prompt_tokens: u64,
    /// Answer length, in tokens.
    pub(crate) output_tokens: u64,
    /// Time of arrival.
    pub(crate) arrives_at: Duration,
}

impl BenchRequest {
    /// Returns the key-value cache that the request uses, in tokens.
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

/// Distinguishes the events of the simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum FleetEvent {
    /// A request arrives; holds the request.
    Arrival(usize),
    /// An engine completes a chunk of a prompt; holds the engine.
    Chunk(usize),
    /// An engine produces the first token of a request; holds the engine and the request.
    FirstToken(usize, usize),
    /// An engine completes a request; holds the engine and the request.
    Finish(usize, usize),
    /// A fixed interval has passed.
    Tick,
}

/// Orders events by time, and events of the same time by insertion.
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

    /// Removes and returns the earliest event with its time.
    pub(crate) fn pop(&mut self) -> Option<(Duration, FleetEvent)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}

#[derive(Default)]
struct SimulatedEngine {
    /// Waiting prompts: priority, order of arrival, request.
    waiting: BTreeSet<(u8, u64, usize)>,
    current_chunk: Option<(u8, u64, usize)>,
    held_tokens: u64,
    held_requests: u32,
}

/// Simulates all engines and the requests that run on them.
pub(crate) struct SimulatedFleet {
    engines: Vec<SimulatedEngine>,
    prefill_left: Vec<u64>,
    order: u64,
    /// Largest number of tokens by which an engine exceeded its memory.
    pub(crate) overshoot: u64,
}

impl SimulatedFleet {
    /// Creates idle engines that can run `requests`.
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
        let excess = simulated.held_tokens.saturating_sub(ENGINE_MEMORY);
        self.overshoot = self.overshoot.max(excess);
        simulated.waiting.insert((priority, self.order, request.id));
        if simulated.current_chunk.is_none() {
            self.next_chunk(engine, now, events);
        }
    }

    /// Completes the current chunk of an engine and starts the next one.
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

    /// Starts the answer of a request and schedules its end.
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

    /// Releases the memory of a completed request.
    pub(crate) fn finish(&mut self, engine: usize, request: &BenchRequest) {
        self.engines[engine].held_tokens -= request.memory_tokens();
        self.engines[engine].held_requests -= 1;
    }

    /// Returns the tokens in memory and the number of requests of each engine.
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

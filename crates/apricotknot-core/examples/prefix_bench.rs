//! Measures the prefill time that the prefix index saves, and the time that updating it costs.
//!
//! Run with `cargo run --release -p apricotknot-core --example prefix_bench [SEED]`; exits with
//! status 1 when the index costs more than it saves.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::CacheChange;
use apricotknot_core::admission::EndpointCapacity;
use apricotknot_core::admission::PoolAction;
use apricotknot_core::admission::PoolEvent;
use apricotknot_core::admission::PoolScheduler;
use apricotknot_core::admission::PoolSettings;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::prefix_cache::BLOCK_TOKENS;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::RequestProfile;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ENGINES: usize = 16;
const REQUESTS: u64 = 20_000;
const CONTEXTS: u64 = 400;
const CACHE_BLOCKS: usize = 800;
const PREFILL_RATE: f64 = 20_000.0;
const ARRIVAL_GAP: Duration = Duration::from_millis(25);
const SERVICE_TIME: Duration = Duration::from_secs(3);
const EVENT_LAG: Duration = Duration::from_secs(2);

/// Number of cache events that are lost, out of 10.
const LOST_EVENTS: u32 = 2;

/// Prefix cache of one engine with least-recently-used eviction.
#[derive(Default)]
struct EngineCache {
    last_used: HashMap<u64, u64>,
    use_order: BTreeMap<u64, u64>,
    use_counter: u64,
}

impl EngineCache {
    /// Runs a prompt; returns the number of its leading blocks that were cached, and the changes.
    fn run(&mut self, blocks: &[u64]) -> (usize, Vec<(u64, CacheChange)>) {
        let found = blocks.iter().take_while(|block| self.last_used.contains_key(block)).count();
        let mut changes = Vec::new();
        for block in blocks {
            self.use_counter += 1;
            match self.last_used.insert(*block, self.use_counter) {
                Some(former) => drop(self.use_order.remove(&former)),
                None => changes.push((*block, CacheChange::Stored)),
            }
            self.use_order.insert(self.use_counter, *block);
        }
        while self.last_used.len() > CACHE_BLOCKS {
            if let Some((_, block)) = self.use_order.pop_first() {
                self.last_used.remove(&block);
                changes.push((block, CacheChange::Evicted));
            }
        }
        (found, changes)
    }
}

/// Measurements of one run.
struct IndexResult {
    hit_rate: f64,
    saved_tokens: u64,
    updates: u64,
    update_time: Duration,
    submit_time: Duration,
}

struct IndexBench {
    pool: PoolScheduler,
    caches: Vec<EngineCache>,
    delayed_events: VecDeque<(Duration, usize, u64, CacheChange)>,
    running: VecDeque<(Duration, u128)>,
    context_blocks: Vec<u64>,
    random: StdRng,
    uses_events: bool,
    prompt_tokens: u64,
    result: IndexResult,
}

fn engine_name(engine: usize) -> Arc<str> {
    format!("{engine:02}").into()
}

impl IndexBench {
    fn new(index_blocks: usize, uses_events: bool, seed: u64) -> Self {
        let mut settings = PoolSettings::new("bench/0");
        settings.max_prefix_blocks = index_blocks;
        let mut pool = PoolScheduler::new(settings);
        let warm = BudgetAmount::new(450_000, 64);
        for engine in 0..ENGINES {
            let capacity = EndpointCapacity::new(warm, warm);
            let event = PoolEvent::EndpointUpdated { endpoint: engine_name(engine), capacity };
            pool.handle(event, Duration::ZERO);
        }
        let mut random = StdRng::seed_from_u64(seed);
        let context_blocks = (0..CONTEXTS).map(|_| 1_000.0 * 32_f64.powf(random.random::<f64>()));
        let context_blocks: Vec<u64> =
            context_blocks.map(|tokens| tokens as u64 / BLOCK_TOKENS + 1).collect();
        Self {
            pool,
            caches: (0..ENGINES).map(|_| EngineCache::default()).collect(),
            delayed_events: VecDeque::new(),
            running: VecDeque::new(),
            context_blocks,
            random,
            uses_events,
            prompt_tokens: 0,
            result: IndexResult {
                hit_rate: 0.0,
                saved_tokens: 0,
                updates: 0,
                update_time: Duration::ZERO,
                submit_time: Duration::ZERO,
            },
        }
    }

    fn run(mut self) -> IndexResult {
        for id in 1..=u128::from(REQUESTS) {
            let now = ARRIVAL_GAP * u32::try_from(id).unwrap_or(u32::MAX);
            self.end_finished(now);
            self.deliver_events(now);
            self.submit(id, now);
        }
        self.result.hit_rate = self.result.saved_tokens as f64 / self.prompt_tokens as f64;
        self.result
    }

    fn submit(&mut self, id: u128, now: Duration) {
        let context = (CONTEXTS as f64).powf(self.random.random::<f64>()) as u64 - 1;
        let block_count = self.context_blocks[context as usize];
        let mut blocks: Vec<u64> = (0..block_count).map(|block| context << 20 | block).collect();
        blocks.push(1 << 40 | id as u64);
        let prompt_tokens = blocks.len() as u64 * BLOCK_TOKENS;
        self.prompt_tokens += prompt_tokens;
        let profile = RequestProfile {
            id,
            account: "account".into(),
            service: "bench".into(),
            prompt_tokens,
            max_output_tokens: 256,
            fingerprint: 0,
            prefix_blocks: blocks.clone(),
            deadline: now + Duration::from_secs(600),
        };
        let (node, excluded) = ("node-1".into(), Vec::new());
        let submission = RequestSubmission { profile, attempt: id, node, excluded };
        let started = Instant::now();
        let actions = self.pool.handle(PoolEvent::Submit(submission), now);
        self.result.submit_time += started.elapsed();
        for action in actions {
            if let PoolAction::Grant(ticket) = action {
                let engine = ticket.endpoint.parse().unwrap_or(0);
                self.start(engine, ticket.attempt, &blocks, now);
            }
        }
    }

    fn start(&mut self, engine: usize, attempt: u128, blocks: &[u64], now: Duration) {
        let (found, changes) = self.caches[engine].run(blocks);
        self.result.saved_tokens += found as u64 * BLOCK_TOKENS;
        for (block, change) in changes {
            if self.random.random_range(0..10) >= LOST_EVENTS {
                self.delayed_events.push_back((now + EVENT_LAG, engine, block, change));
            }
        }
        self.pool.handle(PoolEvent::Started { attempt }, now);
        let after = Duration::from_millis(100);
        self.pool.handle(PoolEvent::FirstToken { attempt, after }, now);
        self.running.push_back((now + SERVICE_TIME, attempt));
    }

    fn end_finished(&mut self, now: Duration) {
        while self.running.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, attempt)) = self.running.pop_front() {
                let (outcome, confirmed_free) = (AttemptOutcome::Answered, true);
                let usage = None;
                let event = PoolEvent::AttemptEnded { attempt, outcome, confirmed_free, usage };
                self.pool.handle(event, now);
            }
        }
    }

    fn deliver_events(&mut self, now: Duration) {
        while self.delayed_events.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, engine, block, change)) = self.delayed_events.pop_front() else {
                return;
            };
            if self.uses_events {
                let event =
                    PoolEvent::CacheChanged { endpoint: engine_name(engine), block, change };
                let started = Instant::now();
                self.pool.handle(event, now);
                self.result.update_time += started.elapsed();
                self.result.updates += 1;
            }
        }
    }
}

/// Returns the net benefit by the formula (1 - U) H - U C, in units of the hit rate.
///
/// U is the fraction of updates among updates and requests, H the gain in hit rate less the added
/// time of a submission, and C the time of an update. Times are relative to the mean prefill time
/// that the index saves per request.
fn net_benefit(result: &IndexResult, without: &IndexResult) -> f64 {
    let requests = REQUESTS as f64;
    let update_fraction = result.updates as f64 / (result.updates as f64 + requests);
    let gained = result.hit_rate - without.hit_rate;
    let saved = result.saved_tokens as f64 / requests / PREFILL_RATE;
    let extra = result.submit_time.saturating_sub(without.submit_time).as_secs_f64() / requests;
    let upkeep = result.update_time.as_secs_f64() / (result.updates.max(1)) as f64;
    (1.0 - update_fraction) * (gained - extra / saved) - update_fraction * upkeep / saved
}

fn main() -> ExitCode {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let without = IndexBench::new(0, false, seed).run();
    let grants = IndexBench::new(65_536, false, seed).run();
    let events = IndexBench::new(65_536, true, seed).run();
    println!("{ENGINES} engines, {REQUESTS} requests, {CONTEXTS} contexts, seed {seed}");
    for (name, result) in [("no index", &without), ("grants", &grants), ("and events", &events)] {
        println!(
            "  {name:>10}: hit rate {:.3}, submit {:?}, {} updates of {:?}, net benefit {:.5}",
            result.hit_rate,
            result.submit_time / REQUESTS as u32,
            result.updates,
            result.update_time / u32::try_from(result.updates.max(1)).unwrap_or(1),
            net_benefit(result, &without),
        );
    }
    let is_beneficial =
        net_benefit(&grants, &without) > 0.0 && net_benefit(&events, &without) > 0.0;
    println!(
        "{}: the index brings more than it costs",
        if is_beneficial { "ok" } else { "FAILED" }
    );
    if is_beneficial { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

//! Chooses the endpoint of one request.
//!
//! A long prompt that is read beside streams that are written delays each of their events. So each
//! endpoint is weighed by what the request would gain there, less what others there would lose.

use std::collections::BTreeMap;
use std::time::Duration;

use super::EndpointPhase;
use super::EngineModel;
use super::FleetBoard;
use super::WorkItem;
use super::WorkPhase;
use super::WorkSize;
use super::fleet_board::EndpointState;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::RegionId;
use crate::types::ServiceId;
use crate::types::TokenCount;

/// Tokens that weigh as much as the request itself.
const VALUE_TOKENS: f64 = 12_000.0;

/// Part of a request's value that is left when its answer is late.
const LATE_SHARE: f64 = 0.25;

/// Part of a time limit that an estimate may use up and still count as on time.
const TIMELY_SHARE: f64 = 0.85;

/// Value that an endpoint loses when all of its attempts fail.
const FAILURE_COST: f64 = 20.0;

/// Part of an engine's memory that grants may fill.
const MEMORY_SHARE: f64 = 0.97;

/// Part of an engine's slots that short streams fill before another engine is used.
const PACKED_SHARE: f64 = 0.6;

/// Weight of time to the first event among endpoints that are otherwise equal, a second.
const TIME_COST: f64 = 0.4;

/// Time after which a caller that found no room is told to come back.
const FULL_RETRY: Duration = Duration::from_millis(700);

/// Longest wait of a short request, in times of its target latency.
const SHORT_WAITS: u32 = 3;

/// Prompts from this length on wait for an endpoint of their own.
const LONG_PROMPT: TokenCount = 24_000;

/// Describes what has to be placed.
#[derive(Clone, Debug)]
pub struct PlacementAsk {
    /// Service that has to run it.
    pub service: ServiceId,
    /// What it asks of the endpoint.
    pub size: WorkSize,
    /// Regions whose endpoints may run it; any where `None`.
    pub regions: Option<Vec<RegionId>>,
    /// Endpoints that must not run it.
    pub excluded: Vec<EndpointId>,
    /// Moment at which the request arrived.
    pub arrived: MonotonicTime,
    /// Time from its arrival within which the answer has to begin to be on time.
    pub target_latency: Duration,
    /// Longest pause between events that is on time.
    pub pause_limit: Duration,
    /// Moment after which an answer is of no use.
    pub deadline: MonotonicTime,
}

/// Says what becomes of a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementVerdict {
    /// It is sent to an endpoint.
    Send {
        /// Endpoint to send it to.
        endpoint: EndpointId,
        /// Time after which its answer is expected to begin.
        expected: Duration,
    },
    /// It waits for room.
    Wait,
    /// It cannot be served.
    Refuse {
        /// Why it cannot be served.
        reason: &'static str,
        /// Time after which it is worth trying again.
        retry_after: Duration,
    },
}

/// Sums up the work at one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointLoad {
    running: u32,
    memory: TokenCount,
    writers: Vec<(Duration, f64)>,
    writer_context: TokenCount,
    readers: u32,
    reading: Duration,
    /// Values of requests that have not begun to be answered.
    reader_values: f64,
}

/// Weighs one endpoint for one request.
#[derive(Clone, Debug)]
struct Candidate<'a> {
    state: &'a EndpointState,
    gain: f64,
    first_event: Duration,
}

/// Decides where a request goes at `now`.
///
/// `rank` counts the requests that have waited longer for the same kind of room.
pub fn place(
    board: &FleetBoard,
    ask: &PlacementAsk,
    rank: usize,
    now: MonotonicTime,
) -> PlacementVerdict {
    let loads = sum_loads(board, now);
    let mut fits: Vec<Candidate<'_>> = Vec::new();
    let mut has_endpoint = false;
    let mut is_too_large = true;
    let engine = board.service(&ask.service).and_then(|profile| profile.engine.as_ref());
    for state in board.endpoints().filter(|state| state.entry.service == ask.service) {
        if !may_take(board, state, ask) {
            continue;
        }
        has_endpoint = true;
        is_too_large &= engine.is_some_and(|engine| ask.size.memory() > engine.memory);
        if state.health.is_paused(now) || !board.admits_cold(state, now) {
            continue;
        }
        let idle = EndpointLoad::default();
        let load = loads.get(&state.entry.id).unwrap_or(&idle);
        fits.extend(weigh(state, engine, load, ask, now));
    }
    if !has_endpoint {
        return PlacementVerdict::Refuse { reason: "no endpoint", retry_after: FULL_RETRY };
    }
    if is_too_large {
        return PlacementVerdict::Refuse { reason: "too large", retry_after: FULL_RETRY * 10 };
    }
    if fits.is_empty() && now >= wait_end(ask, engine) {
        return PlacementVerdict::Refuse { reason: "no room", retry_after: FULL_RETRY };
    }
    settle(fits, ask, rank, now)
}

/// Returns the moment after which waiting for room serves nobody.
fn wait_end(ask: &PlacementAsk, engine: Option<&EngineModel>) -> MonotonicTime {
    if ask.size.prompt < LONG_PROMPT {
        return (ask.arrived + ask.target_latency * SHORT_WAITS).min(ask.deadline);
    }
    let read = engine.map(|engine| engine.read_time(ask.size.prompt)).unwrap_or_default();
    ask.deadline.saturating_sub(read.mul_f64(1.5)).max(ask.arrived)
}

fn may_take(board: &FleetBoard, state: &EndpointState, ask: &PlacementAsk) -> bool {
    let entry = &state.entry;
    let is_home = ask.regions.as_ref().is_none_or(|regions| {
        board.region(&entry.data_centre).is_some_and(|region| regions.contains(region))
    });
    is_home
        && entry.phase == EndpointPhase::Ready
        && !board.is_evacuated(&entry.data_centre)
        && !ask.excluded.contains(&entry.id)
}

fn settle(
    mut fits: Vec<Candidate<'_>>,
    ask: &PlacementAsk,
    rank: usize,
    now: MonotonicTime,
) -> PlacementVerdict {
    fits.sort_by(|left, right| right.gain.total_cmp(&left.gain));
    let full_value = value(ask.size);
    let good = fits.iter().filter(|fit| fit.gain > full_value * LATE_SHARE).count();
    let Some(best) = fits.first() else {
        return PlacementVerdict::Wait;
    };
    let is_long = ask.size.prompt >= LONG_PROMPT;
    let may_wait = is_long && now + best.first_event.mul_f64(1.2) < ask.deadline;
    if may_wait && (good <= rank || best.gain <= 0.0) {
        return PlacementVerdict::Wait;
    }
    PlacementVerdict::Send {
        endpoint: best.state.entry.id.clone(),
        expected: best.first_event,
    }
}

fn weigh<'a>(
    state: &'a EndpointState,
    engine: Option<&EngineModel>,
    load: &EndpointLoad,
    ask: &PlacementAsk,
    now: MonotonicTime,
) -> Option<Candidate<'a>> {
    let failures = state.health.failure_share(now) * FAILURE_COST;
    let Some(engine) = engine else {
        let slots = f64::from(state.entry.slots.max(1));
        let wait = f64::from(load.running) / slots * state.health.slowness(now);
        let first_event = Duration::from_secs_f64(wait.min(60.0) * 0.05);
        return Some(Candidate { state, gain: -wait - failures, first_event });
    };
    let memory = (engine.memory as f64 * MEMORY_SHARE) as TokenCount;
    let is_alone = load.running == 0;
    if load.running >= engine.slots || (!is_alone && load.memory + ask.size.memory() > memory) {
        return None;
    }
    let first_event = first_event_time(engine, load, ask.size).mul_f64(state.health.slowness(now));
    let elapsed = now.saturating_sub(ask.arrived);
    let is_timely = elapsed + first_event <= ask.target_latency.mul_f64(TIMELY_SHARE);
    let gain = value(ask.size) * if is_timely { 1.0 } else { LATE_SHARE };
    let harm = harm_to_others(engine, load, ask);
    let packing = packing_bonus(engine, load, ask.size);
    let gain = gain - harm - failures + packing - first_event.as_secs_f64() * TIME_COST;
    Some(Candidate { state, gain, first_event })
}

fn first_event_time(engine: &EngineModel, load: &EndpointLoad, size: WorkSize) -> Duration {
    let writers = u32::try_from(load.writers.len()).unwrap_or(u32::MAX);
    let pass = engine.pass_time(writers + load.readers + 1, load.writer_context + size.prompt);
    let under_way = if load.running > 0 { pass / 2 } else { Duration::ZERO };
    under_way + load.reading + engine.read_time(size.prompt) + pass
}

/// Returns the value that those at the endpoint lose by a new prompt that is read beside them.
fn harm_to_others(engine: &EngineModel, load: &EndpointLoad, ask: &PlacementAsk) -> f64 {
    let writers = u32::try_from(load.writers.len()).unwrap_or(u32::MAX);
    let pass = engine.pass_time(writers + 1, load.writer_context + ask.size.prompt);
    let read = engine.read_time(ask.size.prompt);
    let longest = pass + read + load.reading;
    let late_writers: f64 = load
        .writers
        .iter()
        .filter(|(limit, _)| longest > limit.mul_f64(TIMELY_SHARE))
        .map(|(_, value)| value * (1.0 - LATE_SHARE))
        .sum();
    // A later reader makes the first events of the earlier ones late only where it is much longer.
    let is_slow = read > Duration::from_millis(100);
    let late_readers = if is_slow { load.reader_values * (1.0 - LATE_SHARE) } else { 0.0 };
    late_writers + late_readers
}

/// Prefers endpoints that already write short streams, so that others stay free for long prompts.
fn packing_bonus(engine: &EngineModel, load: &EndpointLoad, size: WorkSize) -> f64 {
    if size.prompt >= LONG_PROMPT {
        return if load.running == 0 { 0.2 } else { 0.0 };
    }
    let packed = f64::from(engine.slots) * PACKED_SHARE;
    let running = f64::from(load.running);
    if running <= packed { 0.3 * running / packed } else { 0.3 - 0.5 * (running - packed) / packed }
}

fn value(size: WorkSize) -> f64 {
    1.0 + size.prompt as f64 / VALUE_TOKENS
}

fn sum_loads(board: &FleetBoard, now: MonotonicTime) -> BTreeMap<&EndpointId, EndpointLoad> {
    let mut loads: BTreeMap<&EndpointId, EndpointLoad> = BTreeMap::new();
    for work in board.works(now) {
        let Some(state) = board.endpoint(&work.endpoint) else {
            continue;
        };
        let profile = board.service(&state.entry.service);
        let engine = profile.and_then(|profile| profile.engine.as_ref());
        loads.entry(&work.endpoint).or_default().add(work, engine, now);
    }
    loads
}

impl EndpointLoad {
    fn add(&mut self, work: &WorkItem, engine: Option<&EngineModel>, now: MonotonicTime) {
        self.running += 1;
        self.memory += work.size.memory();
        let Some(engine) = engine else {
            return;
        };
        match work.phase {
            WorkPhase::Writing => {
                self.writers.push((work.pause_limit, value(work.size)));
                self.writer_context += work.size.prompt + work.size.expected_output / 2;
            },
            WorkPhase::Reading => {
                let left = engine
                    .read_time(work.size.prompt)
                    .saturating_sub(now.saturating_sub(work.since));
                self.readers += 1;
                self.reading += left;
                self.reader_values += value(work.size);
            },
        }
    }
}

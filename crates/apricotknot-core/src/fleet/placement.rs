//! Chooses the endpoint of one request, and the endpoints that help to read a long prompt.
//!
//! A long prompt that is read beside streams that are written delays each of their events. So each
//! plan is weighed by what the request would gain, less what others would lose. A prompt that is
//! read in parts by many endpoints delays each of them a little, and none of them for long.

use std::sync::Arc;
use std::time::Duration;

use super::EndpointPhase;
use super::EngineModel;
use super::FleetBoard;
use super::WorkSize;
use super::endpoint_load::EndpointLoad;
use super::endpoint_load::sum_loads;
use super::fleet_board::EndpointState;
use super::sharing::MAX_SHARES;
use super::sharing::SharePlan;
use super::sharing::ShareSeat;
use super::sharing::best_plan;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::RegionId;
use crate::types::ServiceId;
use crate::types::TokenCount;

/// Tokens that weigh as much as the request itself.
const VALUE_TOKENS: f64 = 12_000.0;

/// Part of a request's value that is left when its answer is late.
pub(super) const LATE_SHARE: f64 = 0.25;

/// Part of a time limit that an estimate may use up and still count as on time.
pub(super) const TIMELY_SHARE: f64 = 0.85;

/// Value that an endpoint loses when all of its attempts fail.
pub(super) const FAILURE_COST: f64 = 20.0;

/// Part of an engine's memory that requests may fill.
const MEMORY_SHARE: f64 = 0.97;

/// Nodes that hear of one another's choices before they choose themselves.
const NODES_IN_STEP: usize = 10;

/// Cost of the endpoint that a node prefers least, for each node beyond those.
const SPREAD_PER_NODE: f64 = 0.008;

/// Largest cost of the endpoint that a node prefers least.
const MAX_SPREAD: f64 = 0.5;

/// Time after which a caller that found no room is told to come back.
const FULL_RETRY: Duration = Duration::from_millis(700);

/// Time after which a caller whose request fits no endpoint is told to come back.
const TOO_LARGE_RETRY: Duration = Duration::from_secs(10);

/// Longest wait of a short request, in times of its target latency.
const SHORT_WAITS: u32 = 3;

/// Prompts from this length on wait for a moment at which they are answered on time.
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

/// Says what one endpoint does to help another one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HelperPart {
    /// Endpoint that helps.
    pub endpoint: EndpointId,
    /// Memory that it holds, in tokens; zero where it only reads.
    pub memory: TokenCount,
}

/// Says where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPlan {
    /// Endpoint that runs it.
    pub endpoint: EndpointId,
    /// Memory that this endpoint holds for it, in tokens.
    pub memory: TokenCount,
    /// Endpoints that help to read its prompt.
    pub helpers: Vec<HelperPart>,
    /// Time that each of them reads.
    pub read_time: Duration,
    /// Time after which its answer is expected to begin.
    pub expected: Duration,
}

/// Says what becomes of a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementVerdict {
    /// It is sent.
    Send(PlacementPlan),
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

/// Decides where a request goes at `now`.
///
/// `rank` counts the requests that have waited longer for the same kind of room.
pub fn place(
    board: &FleetBoard,
    ask: &PlacementAsk,
    rank: usize,
    now: MonotonicTime,
) -> PlacementVerdict {
    let engine = board.service(&ask.service).and_then(|profile| profile.engine.as_ref());
    let eligible: Vec<&EndpointState> =
        board.endpoints().filter(|state| may_take(board, state, ask)).collect();
    if eligible.is_empty() {
        return PlacementVerdict::Refuse { reason: "no endpoint", retry_after: FULL_RETRY };
    }
    if let Some(engine) = engine {
        let largest = engine.memory * u64::try_from(eligible.len()).unwrap_or(u64::MAX);
        if ask.size.memory() > largest {
            return PlacementVerdict::Refuse { reason: "too large", retry_after: TOO_LARGE_RETRY };
        }
    }
    let seat_count = eligible.len();
    let mut loads = sum_loads(board, now);
    let spread = spread_among(board.nodes());
    let open = eligible
        .into_iter()
        .filter(|state| !state.health.is_paused(now) && board.admits_cold(state, now));
    let seats = open.map(|state| {
        let load = loads.remove(&state.entry.id).unwrap_or_default();
        seat_of(state, load, engine, spread, now)
    });
    let plan = match engine {
        Some(engine) => best_plan(engine, seats.collect(), ask, now),
        None => best_plain(seats.collect()),
    };
    settle(plan, engine, ask, seat_count, rank, now)
}

/// Returns the value of a request with `prompt` tokens.
pub(super) fn value_of(prompt: TokenCount) -> f64 {
    1.0 + prompt as f64 / VALUE_TOKENS
}

fn may_take(board: &FleetBoard, state: &EndpointState, ask: &PlacementAsk) -> bool {
    let entry = &state.entry;
    let is_home = ask.regions.as_ref().is_none_or(|regions| {
        board.region(&entry.data_centre).is_some_and(|region| regions.contains(region))
    });
    is_home
        && entry.service == ask.service
        && entry.phase == EndpointPhase::Ready
        && !board.is_evacuated(&entry.data_centre)
        && !ask.excluded.contains(&entry.id)
}

fn seat_of(
    state: &EndpointState,
    load: EndpointLoad,
    engine: Option<&EngineModel>,
    spread: f64,
    now: MonotonicTime,
) -> ShareSeat {
    let memory = engine.map_or(0, |engine| (engine.memory as f64 * MEMORY_SHARE) as TokenCount);
    ShareSeat {
        endpoint: Arc::clone(&state.entry.id),
        slots: state.entry.slots.max(1),
        free_memory: memory.saturating_sub(load.memory),
        failures: state.health.failure_share(now),
        slowness: state.health.slowness(now),
        is_cold: now < state.entry.cold_until,
        backlog: load.backlog(now),
        helper_backlog: load.helper_backlog(now),
        spread: state.preference * spread,
        load,
    }
}

/// Returns by how much the costs of endpoints differ between nodes.
///
/// Nodes that choose at the same moment do not see one another's choice yet. Without this, all of
/// them would take the same endpoint.
fn spread_among(nodes: usize) -> f64 {
    (SPREAD_PER_NODE * nodes.saturating_sub(NODES_IN_STEP) as f64).min(MAX_SPREAD)
}

/// Chooses the endpoint of a call of a plain service: the one with the fewest calls.
fn best_plain(seats: Vec<ShareSeat>) -> Option<SharePlan> {
    let cost = |seat: &ShareSeat| {
        let share = f64::from(seat.load.running) / f64::from(seat.slots);
        share * seat.slowness + seat.failures * FAILURE_COST + seat.spread
    };
    let best = seats.into_iter().min_by(|left, right| cost(left).total_cmp(&cost(right)))?;
    Some(SharePlan {
        net: 1.0,
        is_timely: true,
        is_idle: true,
        plan: PlacementPlan {
            endpoint: best.endpoint,
            memory: 0,
            helpers: Vec::new(),
            read_time: Duration::ZERO,
            expected: Duration::ZERO,
        },
    })
}

fn settle(
    plan: Option<SharePlan>,
    engine: Option<&EngineModel>,
    ask: &PlacementAsk,
    seat_count: usize,
    rank: usize,
    now: MonotonicTime,
) -> PlacementVerdict {
    let is_over = now >= wait_end(ask, engine);
    let Some(found) = plan else {
        return wait_or_refuse(is_over);
    };
    let is_long = ask.size.prompt >= LONG_PROMPT;
    if is_long && found.net <= 0.0 {
        return wait_or_refuse(is_over);
    }
    let may_wait = is_long && !is_over;
    let can_be_timely = now + fastest(engine, ask, seat_count)
        <= ask.arrived + ask.target_latency.mul_f64(TIMELY_SHARE);
    // What is late anyway takes only what is idle: others can still be answered on time.
    let is_held_back = !found.is_timely && (can_be_timely || !found.is_idle);
    if may_wait && (rank > 0 || is_held_back) {
        return PlacementVerdict::Wait;
    }
    PlacementVerdict::Send(found.plan)
}

/// Returns the time until an answer begins if all endpoints were free to read the prompt.
fn fastest(engine: Option<&EngineModel>, ask: &PlacementAsk, seat_count: usize) -> Duration {
    let parts = u32::try_from(seat_count.clamp(1, MAX_SHARES)).unwrap_or(1);
    let read = engine.map(|engine| engine.read_time(ask.size.prompt) / parts);
    let pass = engine.map(|engine| engine.pass_time(1, ask.size.prompt));
    read.unwrap_or_default() + pass.unwrap_or_default()
}

fn wait_or_refuse(is_over: bool) -> PlacementVerdict {
    match is_over {
        true => PlacementVerdict::Refuse { reason: "no room", retry_after: FULL_RETRY },
        false => PlacementVerdict::Wait,
    }
}

/// Returns the moment after which waiting for room serves nobody.
fn wait_end(ask: &PlacementAsk, engine: Option<&EngineModel>) -> MonotonicTime {
    if ask.size.prompt < LONG_PROMPT {
        return (ask.arrived + ask.target_latency * SHORT_WAITS).min(ask.deadline);
    }
    let write = engine.map(|engine| engine.write_time(ask.size.prompt, ask.size.expected_output));
    let needed = write.unwrap_or_default().mul_f64(1.2) + ask.target_latency / 2;
    ask.deadline.saturating_sub(needed).max(ask.arrived)
}

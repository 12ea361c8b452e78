//! Chooses the endpoint of one request, and the endpoints that help to read a long prompt.
//!
//! A long prompt that is read beside streams that are written delays each of their events. So each
//! plan is weighed by what the request would gain, less what others would lose. A prompt that is
//! read in parts by many endpoints delays each of them a little, and none of them for long.

use std::sync::Arc;
use std::time::Duration;

use super::EndpointPhase;
use super::EngineModel;
use super::FleetState;
use super::RequestSize;
use super::endpoint_load::EndpointLoad;
use super::endpoint_load::sum_loads;
use super::fleet_state::EndpointState;
use super::prompt_split::MAX_ENDPOINTS;
use super::prompt_split::PlacementCandidate;
use super::prompt_split::ScoredPlan;
use super::prompt_split::best_plan;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::RegionId;
use crate::types::ServiceId;
use crate::types::TokenCount;

/// Tokens that weigh as much as the request itself.
const TOKENS_PER_VALUE: f64 = 12_000.0;

/// Part of a request's value that is left when its answer is late.
pub(super) const LATE_VALUE_FRACTION: f64 = 0.25;

/// Part of a time limit that an estimate may use up and still count as on time.
pub(super) const TIMELY_FRACTION: f64 = 0.85;

/// Value that an endpoint loses when all of its attempts fail.
pub(super) const FAILURE_COST: f64 = 20.0;

/// Part of an engine's memory that requests may fill.
const USABLE_MEMORY_FRACTION: f64 = 0.97;

/// Nodes that hear of one another's choices before they choose themselves.
const NODES_WITHOUT_JITTER: usize = 10;

/// Cost of the endpoint that a node prefers least, for each node beyond those.
const JITTER_PER_NODE: f64 = 0.008;

/// Largest cost of the endpoint that a node prefers least.
const MAX_JITTER: f64 = 0.5;

/// Time after which a caller that found no room is told to come back.
const NO_ROOM_RETRY: Duration = Duration::from_millis(700);

/// Time after which a caller whose request fits no endpoint is told to come back.
const TOO_LARGE_RETRY: Duration = Duration::from_secs(10);

/// Longest wait of a short request, in times of its target latency.
const SHORT_WAIT_FACTOR: u32 = 3;

/// Prompts from this length on wait for a moment at which they are answered on time.
const LONG_PROMPT_TOKENS: TokenCount = 24_000;

/// Describes what has to be placed.
#[derive(Clone, Debug)]
pub struct PlacementQuery {
    /// Service that has to run it.
    pub service: ServiceId,
    /// What it asks of the endpoint.
    pub size: RequestSize,
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
    pub prefill_time: Duration,
    /// Time after which its answer is expected to begin.
    pub expected_start: Duration,
}

/// Says what becomes of a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
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
    fleet: &FleetState,
    query: &PlacementQuery,
    rank: usize,
    now: MonotonicTime,
) -> PlacementDecision {
    let engine = fleet.service(&query.service).and_then(|profile| profile.engine.as_ref());
    let eligible: Vec<&EndpointState> =
        fleet.endpoints().filter(|state| is_eligible(fleet, state, query)).collect();
    if eligible.is_empty() {
        return PlacementDecision::Refuse { reason: "no endpoint", retry_after: NO_ROOM_RETRY };
    }
    if let Some(engine) = engine {
        let total_memory = engine.memory * u64::try_from(eligible.len()).unwrap_or(u64::MAX);
        if query.size.memory() > total_memory {
            return PlacementDecision::Refuse { reason: "too large", retry_after: TOO_LARGE_RETRY };
        }
    }
    let endpoint_count = eligible.len();
    let mut loads = sum_loads(fleet, now);
    let jitter_scale = jitter_scale(fleet.node_count());
    let available = eligible
        .into_iter()
        .filter(|state| !state.health.is_backing_off(now) && fleet.is_within_cold_rate(state, now));
    let candidates = available.map(|state| {
        let load = loads.remove(&state.entry.id).unwrap_or_default();
        candidate_for(state, load, engine, jitter_scale, now)
    });
    let plan = match engine {
        Some(engine) => best_plan(engine, candidates.collect(), query, now),
        None => best_plain_plan(candidates.collect()),
    };
    decide(plan, engine, query, endpoint_count, rank, now)
}

/// Returns the value of a request with `prompt` tokens.
pub(super) fn request_value(prompt: TokenCount) -> f64 {
    1.0 + prompt as f64 / TOKENS_PER_VALUE
}

fn is_eligible(fleet: &FleetState, state: &EndpointState, query: &PlacementQuery) -> bool {
    let entry = &state.entry;
    let is_allowed_region = query.regions.as_ref().is_none_or(|regions| {
        fleet.region(&entry.data_centre).is_some_and(|region| regions.contains(region))
    });
    is_allowed_region
        && entry.service == query.service
        && entry.phase == EndpointPhase::Ready
        && !fleet.is_evacuated(&entry.data_centre)
        && !query.excluded.contains(&entry.id)
}

fn candidate_for(
    state: &EndpointState,
    load: EndpointLoad,
    engine: Option<&EngineModel>,
    jitter_scale: f64,
    now: MonotonicTime,
) -> PlacementCandidate {
    let memory =
        engine.map_or(0, |engine| (engine.memory as f64 * USABLE_MEMORY_FRACTION) as TokenCount);
    PlacementCandidate {
        endpoint: Arc::clone(&state.entry.id),
        slots: state.entry.slots.max(1),
        free_memory: memory.saturating_sub(load.memory),
        failure_rate: state.health.failure_rate(now),
        slowdown: state.health.slowdown(now),
        is_cold: now < state.entry.cold_until,
        backlog: load.backlog(now),
        helper_backlog: load.helper_backlog(now),
        jitter_cost: state.jitter * jitter_scale,
        load,
    }
}

/// Returns by how much the costs of endpoints differ between nodes.
///
/// Nodes that choose at the same moment do not see one another's choice yet. Without this, all of
/// them would take the same endpoint.
fn jitter_scale(node_count: usize) -> f64 {
    (JITTER_PER_NODE * node_count.saturating_sub(NODES_WITHOUT_JITTER) as f64).min(MAX_JITTER)
}

/// Chooses the endpoint of a call of a plain service: the one with the fewest calls.
fn best_plain_plan(candidates: Vec<PlacementCandidate>) -> Option<ScoredPlan> {
    let cost = |candidate: &PlacementCandidate| {
        let used_fraction = f64::from(candidate.load.running) / f64::from(candidate.slots);
        used_fraction * candidate.slowdown
            + candidate.failure_rate * FAILURE_COST
            + candidate.jitter_cost
    };
    let best = candidates.into_iter().min_by(|left, right| cost(left).total_cmp(&cost(right)))?;
    Some(ScoredPlan {
        net_value: 1.0,
        is_timely: true,
        has_no_prefill: true,
        plan: PlacementPlan {
            endpoint: best.endpoint,
            memory: 0,
            helpers: Vec::new(),
            prefill_time: Duration::ZERO,
            expected_start: Duration::ZERO,
        },
    })
}

fn decide(
    plan: Option<ScoredPlan>,
    engine: Option<&EngineModel>,
    query: &PlacementQuery,
    endpoint_count: usize,
    rank: usize,
    now: MonotonicTime,
) -> PlacementDecision {
    let has_wait_expired = now >= wait_deadline(query, engine);
    let Some(scored) = plan else {
        return wait_or_refuse(has_wait_expired);
    };
    let is_long = query.size.prompt >= LONG_PROMPT_TOKENS;
    if is_long && scored.net_value <= 0.0 {
        return wait_or_refuse(has_wait_expired);
    }
    let may_wait = is_long && !has_wait_expired;
    let can_be_timely = now + fastest_start(engine, query, endpoint_count)
        <= query.arrived + query.target_latency.mul_f64(TIMELY_FRACTION);
    // What is late anyway takes only what is idle: others can still be answered on time.
    let is_held_back = !scored.is_timely && (can_be_timely || !scored.has_no_prefill);
    if may_wait && (rank > 0 || is_held_back) {
        return PlacementDecision::Wait;
    }
    PlacementDecision::Send(scored.plan)
}

/// Returns the time until an answer begins if all endpoints were free to read the prompt.
fn fastest_start(
    engine: Option<&EngineModel>,
    query: &PlacementQuery,
    endpoint_count: usize,
) -> Duration {
    let parts = u32::try_from(endpoint_count.clamp(1, MAX_ENDPOINTS)).unwrap_or(1);
    let prefill = engine.map(|engine| engine.prefill_time(query.size.prompt) / parts);
    let interval = engine.map(|engine| engine.event_interval(1, query.size.prompt));
    prefill.unwrap_or_default() + interval.unwrap_or_default()
}

fn wait_or_refuse(has_wait_expired: bool) -> PlacementDecision {
    match has_wait_expired {
        true => PlacementDecision::Refuse { reason: "no room", retry_after: NO_ROOM_RETRY },
        false => PlacementDecision::Wait,
    }
}

/// Returns the moment after which waiting for room serves nobody.
fn wait_deadline(query: &PlacementQuery, engine: Option<&EngineModel>) -> MonotonicTime {
    if query.size.prompt < LONG_PROMPT_TOKENS {
        return (query.arrived + query.target_latency * SHORT_WAIT_FACTOR).min(query.deadline);
    }
    let decode =
        engine.map(|engine| engine.decode_time(query.size.prompt, query.size.expected_output));
    let needed = decode.unwrap_or_default().mul_f64(1.2) + query.target_latency / 2;
    query.deadline.saturating_sub(needed).max(query.arrived)
}

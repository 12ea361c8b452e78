//! Chooses the endpoint that runs a request, and the helpers that prefill parts of a long prompt.
//!
//! The prefill of a long prompt delays every event of the streams that the same endpoint decodes.
//! So each plan is scored by the value that the request gains, less the value that other requests
//! lose. A prompt whose prefill is split over many endpoints delays each of them only briefly.

use std::sync::Arc;
use std::time::Duration;

use super::EngineModel;
use super::FleetState;
use super::LoadKnowledge;
use super::PlacementDecision;
use super::PlacementEvidence;
use super::PlacementPlan;
use super::PlacementQuery;
use super::PlacementVerdict;
use super::QueuePosition;
use super::RateTurn;
use super::WaitCause;
use super::choice_costs::ChoiceCosts;
use super::endpoint_load::EndpointLoad;
use super::endpoint_load::sum_loads;
use super::endpoint_state::EndpointState;
use super::placement_candidate::PlacementCandidate;
use super::placement_costs::FAILURE_COST;
use super::placement_costs::TIMELY_FRACTION;
use super::prompt_split::HelperOrder;
use super::prompt_split::MAX_ENDPOINTS;
use super::prompt_split::PlanRules;
use super::prompt_split::ScoredPlan;
use super::prompt_split::best_plan;
use super::rate_turn::wait_for_rate;
use super::request_value::RequestValues;
use crate::types::MonotonicTime;
use crate::types::TokenCount;

/// Fraction of an engine's memory that requests may occupy.
const USABLE_MEMORY_FRACTION: f64 = 0.97;

/// Retry delay that is sent to a caller when no endpoint had room in time.
pub(super) const NO_ROOM_RETRY: Duration = Duration::from_millis(700);

/// Longest retry delay that is sent to a caller whose prompt was too dear all the time.
const MAX_PRICE_RETRY: Duration = Duration::from_secs(10);

/// Retry delay that is sent to a caller whose request exceeds the memory of all endpoints together.
const TOO_LARGE_RETRY: Duration = Duration::from_secs(10);

/// Maximum wait of a short request, as a multiple of its target latency.
const SHORT_WAIT_FACTOR: u32 = 3;

/// Minimum length of a long prompt, in tokens.
///
/// A long prompt may wait until it can be answered on time.
pub(super) const LONG_PROMPT_TOKENS: TokenCount = 24_000;

/// Decides at `now` whether and where a request runs.
///
/// A long prompt waits while older requests that are no larger wait, until its time to wait ends.
pub fn place(
    fleet: &FleetState,
    query: &PlacementQuery,
    position: QueuePosition,
    now: MonotonicTime,
) -> PlacementVerdict {
    let engine = fleet.service(&query.service).and_then(|profile| profile.engine.as_ref());
    let eligible: Vec<&EndpointState> =
        fleet.endpoints().filter(|state| is_eligible(fleet, state, query)).collect();
    if eligible.is_empty() {
        return PlacementVerdict::refusal("no endpoint", NO_ROOM_RETRY);
    }
    if let Some(engine) = engine {
        let count = u64::try_from(eligible.len()).unwrap_or(u64::MAX);
        let total_memory = engine.memory.saturating_mul(count);
        if query.size.memory() > total_memory {
            return PlacementVerdict::refusal("too large", TOO_LARGE_RETRY);
        }
    }
    if let Some(decision) = fleet.decide_by_backoff(&eligible, query, now) {
        return PlacementVerdict::held(decision, WaitCause::Backoff);
    }
    if let Some(decision) = decide_by_rates(fleet, &eligible, query, position.ahead, now) {
        return PlacementVerdict::held(decision, WaitCause::Rate);
    }
    let endpoint_count = eligible.len();
    let mut loads = sum_loads(fleet, now);
    let available = eligible.into_iter().filter(|state| {
        fleet.may_send(state, now)
            && !state.health.is_backing_off(now)
            && fleet.rate_turn(state, now).is_open(now)
    });
    let candidates = available.map(|state| {
        let load = loads.remove(&state.entry.id).unwrap_or_default();
        candidate_for(fleet, state, load, now)
    });
    let plan = match engine {
        Some(engine) => best_plan(engine, candidates.collect(), plan_rules(fleet), query, now),
        None => best_plain_plan(candidates.collect()),
    };
    decide(plan, engine, query, endpoint_count, position.rank, now)
}

/// Returns whether an endpoint may run the request, regardless of its load and its health.
pub(super) fn is_eligible(
    fleet: &FleetState,
    state: &EndpointState,
    query: &PlacementQuery,
) -> bool {
    let entry = &state.entry;
    let is_allowed_region = query.regions.as_ref().is_none_or(|regions| {
        fleet.region(&entry.data_centre).is_some_and(|region| regions.contains(region))
    });
    is_allowed_region
        && entry.service == query.service
        && fleet.takes_requests(state)
        && !query.excluded.contains(&entry.id)
}

/// Decides on a request if the request rates of all endpoints leave no room for it now.
fn decide_by_rates(
    fleet: &FleetState,
    eligible: &[&EndpointState],
    query: &PlacementQuery,
    ahead: usize,
    now: MonotonicTime,
) -> Option<PlacementDecision> {
    let turns: Vec<RateTurn> = eligible.iter().map(|state| fleet.rate_turn(state, now)).collect();
    if turns.iter().any(|turn| turn.is_open(now)) {
        return None;
    }
    let engine = fleet.service(&query.service).and_then(|profile| profile.engine.as_ref());
    let fleet_rate: f64 = eligible.iter().filter_map(|state| fleet.rate_limit(state, now)).sum();
    let node_rate = fleet_rate / fleet.node_count() as f64;
    Some(wait_for_rate(&turns, ahead, node_rate, wait_deadline(query, engine)))
}

/// Returns the candidate for an endpoint with `load`; without an engine, it has no memory.
fn candidate_for(
    fleet: &FleetState,
    state: &EndpointState,
    load: EndpointLoad,
    now: MonotonicTime,
) -> PlacementCandidate {
    let engine = fleet.service(&state.entry.service).and_then(|profile| profile.engine.as_ref());
    let memory = engine
        .filter(|_| !state.is_memory_refused(now))
        .map_or(0, |engine| (engine.memory as f64 * USABLE_MEMORY_FRACTION) as TokenCount);
    PlacementCandidate {
        endpoint: Arc::clone(&state.entry.id),
        slots: state.entry.slots.max(1),
        free_memory: memory.saturating_sub(load.memory),
        failure_rate: state.health.failure_rate(now),
        slowdown: state.health.slowdown(now),
        may_help: now >= state.entry.cold_until && fleet.rate_limit(state, now).is_none(),
        backlog: state.prefills.backlog(now),
        helper_backlog: state.prefills.parts_backlog(now),
        choice_costs: ChoiceCosts::of(fleet, state, &load),
        load,
    }
}

/// Returns the rules of plans, by how late the work of other nodes becomes known.
fn plan_rules(fleet: &FleetState) -> PlanRules {
    let knowledge = fleet.load_knowledge();
    let orders: &[HelperOrder] = match knowledge {
        LoadKnowledge::Direct => &[HelperOrder::CostFirst],
        LoadKnowledge::Digests => &[HelperOrder::Nearby, HelperOrder::Anywhere],
    };
    PlanRules { orders, values: RequestValues::new(knowledge) }
}

/// Chooses the endpoint of a plain service with the lowest cost, which is mainly its slot usage.
fn best_plain_plan(candidates: Vec<PlacementCandidate>) -> Option<ScoredPlan> {
    let cost = |candidate: &PlacementCandidate| {
        let used_fraction = f64::from(candidate.load.running) / f64::from(candidate.slots);
        used_fraction * candidate.slowdown
            + candidate.failure_rate * FAILURE_COST
            + candidate.choice_costs.any
    };
    let best = candidates.into_iter().min_by(|left, right| cost(left).total_cmp(&cost(right)))?;
    Some(ScoredPlan {
        net_value: 1.0,
        time_price: 0.0,
        utilization: 0.0,
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

/// Decides whether the best plan at `now` is used, or the request waits or is refused.
fn decide(
    plan: Option<ScoredPlan>,
    engine: Option<&EngineModel>,
    query: &PlacementQuery,
    endpoint_count: usize,
    rank: usize,
    now: MonotonicTime,
) -> PlacementVerdict {
    let has_wait_expired = now >= wait_deadline(query, engine);
    let Some(scored) = plan else {
        let decision = wait_or_refuse(has_wait_expired, NO_ROOM_RETRY);
        return PlacementVerdict::held(decision, WaitCause::Room);
    };
    let evidence = PlacementEvidence {
        cause: None,
        net_value: scored.net_value,
        price: scored.time_price,
        utilization: scored.utilization,
        rank,
    };
    let is_long = query.size.prompt >= LONG_PROMPT_TOKENS;
    if is_long && scored.net_value <= scored.time_price {
        // What was too dear all the time is likely to be so for as long again.
        let waited = now.saturating_sub(query.arrived);
        let retry_after = waited.clamp(NO_ROOM_RETRY, MAX_PRICE_RETRY);
        let decision = wait_or_refuse(has_wait_expired, retry_after);
        return evidence.verdict(decision, Some(WaitCause::Price));
    }
    let may_wait = is_long && !has_wait_expired;
    let can_be_timely = now + fastest_start(engine, query, endpoint_count)
        <= query.arrived + query.target_latency.mul_f64(TIMELY_FRACTION);
    // A request that will be late in any case only uses endpoints without a prefill in progress,
    // as other requests can still be answered on time.
    let is_held_back = !scored.is_timely && (can_be_timely || !scored.has_no_prefill);
    if may_wait && (rank > 0 || is_held_back) {
        let cause = if is_held_back { WaitCause::Timeliness } else { WaitCause::Turn };
        return evidence.verdict(PlacementDecision::Wait, Some(cause));
    }
    evidence.verdict(PlacementDecision::Send(scored.plan), None)
}

/// Returns the time until the answer begins if all endpoints were idle and shared the prefill.
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

fn wait_or_refuse(has_wait_expired: bool, retry_after: Duration) -> PlacementDecision {
    match has_wait_expired {
        true => PlacementDecision::Refuse { reason: "no room", retry_after },
        false => PlacementDecision::Wait,
    }
}

/// Returns the time after which a request no longer waits for room.
///
/// A long prompt may wait as long as its answer can still be completed before the deadline.
pub(super) fn wait_deadline(query: &PlacementQuery, engine: Option<&EngineModel>) -> MonotonicTime {
    if query.size.prompt < LONG_PROMPT_TOKENS {
        return (query.arrived + query.target_latency * SHORT_WAIT_FACTOR).min(query.deadline);
    }
    let decode =
        engine.map(|engine| engine.decode_time(query.size.prompt, query.size.expected_output));
    let needed = decode.unwrap_or_default().mul_f64(1.2) + query.target_latency / 2;
    query.deadline.saturating_sub(needed).max(query.arrived)
}

//! Chooses the endpoints over which the prefill of one prompt is split.

use std::time::Duration;

use super::EngineModel;
use super::HelperPart;
use super::PlacementPlan;
use super::PlacementQuery;
use super::endpoint_load::EndpointLoad;
use super::engine_time_price::EngineTimePrice;
use super::placement_candidate::PlacementCandidate;
use super::placement_costs::FAILURE_COST;
use super::placement_costs::TIMELY_FRACTION;
use super::request_value::LATE_VALUE_FRACTION;
use super::request_value::RequestValues;
use crate::types::MonotonicTime;
use crate::types::TokenCount;

/// Maximum endpoints that prefill one prompt: the runner and 16 helpers.
pub(super) const MAX_ENDPOINTS: usize = 17;

/// Numbers of endpoints that are considered for one prompt, in addition to all available ones.
const ENDPOINT_COUNTS: [usize; 8] = [1, 2, 3, 4, 6, 8, 11, 14];

/// Minimum prefill time of a part; a prompt is not split into shorter parts.
const MIN_PART_TIME: Duration = Duration::from_millis(40);

/// Maximum prefill time of a part, unless all available endpoints take part.
const MAX_PART_TIME: Duration = Duration::from_millis(1_500);

/// Cost of each endpoint that takes part, in units of request value.
const ENDPOINT_COST: f64 = 0.02;

/// Fraction of a request's value that is lost when its answer begins only at the end of its time.
const LATENCY_COST: f64 = 0.3;

/// Value that an engine without short streams has for future long prompts.
const PACKING_COST: f64 = 0.3;

/// Fraction of an engine's slots that short streams fill before another engine is preferred.
const PACKED_FRACTION: f64 = 0.75;

/// Cost of each second until an endpoint is ready, in units of request value.
const READY_COST: f64 = 1.5;

/// Minimum memory that a helper holds for a request, in tokens.
const MIN_HELPER_MEMORY: TokenCount = 4_000;

/// Order in which endpoints are taken as helpers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HelperOrder {
    /// Those that cost other requests least come first, then those that are ready soonest.
    CostFirst,
    /// The cost and the time until ready count together, and endpoints nearby come first.
    ///
    /// Where work becomes known late, many nodes would otherwise take the few endpoints that seem to
    /// cost nothing.
    Nearby,
    /// The cost and the time until ready count together, wherever the endpoint is.
    Anywhere,
}

/// Rules of plans that follow from the size of the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlanRules {
    /// Orders in which endpoints are taken as helpers; a later one counts if no plan of those before it
    /// is on time.
    pub(super) orders: &'static [HelperOrder],
    /// Values of requests.
    pub(super) values: RequestValues,
}

/// Number of endpoints that prefill a prompt, and the time of each part.
#[derive(Clone, Copy, Debug)]
struct PartSize {
    count: usize,
    time: Duration,
}

impl PartSize {
    /// Returns whether the parts are neither too short nor too long where `all` endpoints could help.
    fn is_sensible(self, all: usize) -> bool {
        let is_too_short = self.count > 1 && self.time < MIN_PART_TIME;
        let is_too_long = self.time > MAX_PART_TIME && self.count < all;
        !is_too_short && !is_too_long
    }
}

/// A plan with its estimated value.
#[derive(Clone, Debug)]
pub(super) struct ScoredPlan {
    /// Value that the request gains, less the value that requests at its endpoints lose.
    pub(super) net_value: f64,
    /// Price of the time of its endpoints: the value that requests which arrive meanwhile lose.
    pub(super) time_price: f64,
    /// Mean utilization of the engines, from which the price follows.
    pub(super) utilization: f64,
    /// Whether the answer is expected to begin within the target latency.
    pub(super) is_timely: bool,
    /// Whether none of the endpoints has a prefill in progress.
    pub(super) has_no_prefill: bool,
    pub(super) plan: PlacementPlan,
}

/// A candidate with its estimated cost for a part of a given prefill time.
struct ScoredCandidate<'a> {
    candidate: &'a PlacementCandidate,
    /// Value that other requests lose, plus the cost of the endpoint's failure rate.
    cost: f64,
    /// Time until the endpoint has prefilled its part, if it runs the request.
    runner_ready: Duration,
    /// Time until the endpoint has prefilled its part, if it is a helper.
    helper_ready: Duration,
}

/// Returns the plan with the highest net value, or `None` if no plan fits the available endpoints.
pub(super) fn best_plan(
    engine: &EngineModel,
    candidates: Vec<PlacementCandidate>,
    rules: PlanRules,
    query: &PlacementQuery,
    now: MonotonicTime,
) -> Option<ScoredPlan> {
    let prefill = engine.prefill_time(query.size.prompt);
    let price = EngineTimePrice::of(engine, &candidates);
    if candidates.is_empty() {
        return None;
    }
    let helpers = candidates.iter().filter(|candidate| candidate.may_help).count();
    let all = helpers.clamp(1, MAX_ENDPOINTS);
    let counts = ENDPOINT_COUNTS.into_iter().filter(|count| *count < all).chain([all]);
    let sizes: Vec<PartSize> = counts
        .map(|count| PartSize { count, time: prefill / u32::try_from(count).unwrap_or(u32::MAX) })
        .filter(|size| size.is_sensible(all))
        .collect();
    let mut best: Option<ScoredPlan> = None;
    for order in rules.orders {
        let plans = sizes.iter().filter_map(|size| {
            let plan =
                plan_with_parts(engine, &candidates, (*order, rules.values), query, *size, now)?;
            // A late prompt takes only engines without a prefill, which others miss less.
            let is_full_price = plan.is_timely || *order == HelperOrder::CostFirst;
            let share = if is_full_price { 1.0 } else { LATE_VALUE_FRACTION };
            let time_price = price.of_time(prefill) * share * query.price_share;
            Some(ScoredPlan { time_price, utilization: price.utilization(), ..plan })
        });
        let surplus = |plan: &ScoredPlan| plan.net_value - plan.time_price;
        best = plans.chain(best).max_by(|left, right| surplus(left).total_cmp(&surplus(right)));
        if best.as_ref().is_some_and(|plan| plan.is_timely) {
            break;
        }
    }
    best
}

/// Returns the best plan over as many endpoints as there are parts, taken in `order`.
///
/// Returns `None` if fewer endpoints can take part or their free memory is too small.
fn plan_with_parts(
    engine: &EngineModel,
    candidates: &[PlacementCandidate],
    (order, values): (HelperOrder, RequestValues),
    query: &PlacementQuery,
    PartSize { count, time: part_time }: PartSize,
    now: MonotonicTime,
) -> Option<ScoredPlan> {
    let mut scored_candidates: Vec<ScoredCandidate<'_>> =
        candidates.iter().map(|candidate| score_candidate(engine, candidate, part_time)).collect();
    scored_candidates.sort_by(|left, right| {
        let (left, right) = (left.sort_key(order), right.sort_key(order));
        left.0.total_cmp(&right.0).then(left.1.cmp(&right.1))
    });
    let runner = choose_runner(engine, &scored_candidates, (order, values), query, count)?;
    let runner = scored_candidates.remove(runner);
    let helpers: Vec<&ScoredCandidate<'_>> = scored_candidates
        .iter()
        .filter(|scored| {
            scored.candidate.may_help && scored.candidate.load.helper_count < scored.candidate.slots
        })
        .take(count - 1)
        .collect();
    if helpers.len() + 1 < count {
        return None;
    }
    let helper_parts = split_memory(query.size.memory(), &runner, &helpers)?;
    let all_ready =
        helpers.iter().map(|helper| helper.helper_ready).fold(runner.runner_ready, Duration::max);
    let first_event =
        all_ready + event_interval_with(engine, &runner.candidate.load, query.size.prompt);
    let cost: f64 = runner.cost + helpers.iter().map(|helper| helper.cost).sum::<f64>();
    let is_timely = now.saturating_sub(query.arrived) + first_event
        <= query.target_latency.mul_f64(TIMELY_FRACTION);
    let value = values.of(query.size.prompt, query.rank);
    let gain = if is_timely { value } else { value * LATE_VALUE_FRACTION };
    let horizon = match is_timely {
        true => query.target_latency,
        false => query.deadline.saturating_sub(query.arrived),
    };
    let time_fraction = first_event.as_secs_f64() / horizon.as_secs_f64().max(1e-3);
    let net_value = gain * (1.0 - LATENCY_COST * time_fraction.min(1.0))
        - cost
        - ENDPOINT_COST * count as f64
        - packing_cost(engine, &runner.candidate.load, values, query);
    Some(ScoredPlan {
        net_value,
        time_price: 0.0,
        utilization: 0.0,
        is_timely,
        has_no_prefill: helpers
            .iter()
            .chain([&&runner])
            .all(|scored| scored.candidate.load.has_no_prefill()),
        plan: PlacementPlan {
            endpoint: runner.candidate.endpoint.clone(),
            memory: query.size.memory()
                - helper_parts.iter().map(|part| part.memory).sum::<TokenCount>(),
            helpers: helper_parts,
            prefill_time: part_time,
            expected_start: first_event,
        },
    })
}

impl ScoredCandidate<'_> {
    /// Returns the key that orders helpers.
    fn sort_key(&self, order: HelperOrder) -> (f64, Duration) {
        let choice_time = Duration::from_secs_f64(self.choice_cost(order) / READY_COST);
        let ready = self.helper_ready + choice_time;
        match order {
            HelperOrder::CostFirst => (self.cost, ready),
            HelperOrder::Nearby | HelperOrder::Anywhere => {
                (self.cost + ready.as_secs_f64() * READY_COST, ready)
            },
        }
    }

    /// Returns the cost of choosing the endpoint for a part.
    fn choice_cost(&self, order: HelperOrder) -> f64 {
        match order {
            HelperOrder::Nearby => self.candidate.choice_costs.nearby_part,
            HelperOrder::CostFirst | HelperOrder::Anywhere => self.candidate.choice_costs.any,
        }
    }
}

/// Estimates the cost of a candidate for a part of `part_time`, and the time until it is ready.
fn score_candidate<'a>(
    engine: &EngineModel,
    candidate: &'a PlacementCandidate,
    part_time: Duration,
) -> ScoredCandidate<'a> {
    let is_busy = candidate.load.stream_count() > 0;
    let current_step =
        if is_busy { candidate.load.event_interval(engine) / 2 } else { Duration::ZERO };
    ScoredCandidate {
        candidate,
        cost: candidate.load.interference_cost(engine, candidate.backlog, part_time)
            + candidate.failure_rate * FAILURE_COST,
        runner_ready: (current_step + candidate.backlog + part_time).mul_f64(candidate.slowdown),
        helper_ready: (current_step + candidate.helper_backlog + part_time)
            .mul_f64(candidate.slowdown),
    }
}

/// Returns the index of the cheapest candidate with room to run the request.
fn choose_runner(
    engine: &EngineModel,
    scored_candidates: &[ScoredCandidate<'_>],
    (order, values): (HelperOrder, RequestValues),
    query: &PlacementQuery,
    count: usize,
) -> Option<usize> {
    let needed =
        if count == 1 { query.size.memory() } else { query.size.memory().min(MIN_HELPER_MEMORY) };
    let has_room = |scored: &ScoredCandidate<'_>| {
        scored.candidate.load.running < engine.slots && scored.candidate.free_memory >= needed
    };
    let cost = |scored: &ScoredCandidate<'_>| {
        let load = &scored.candidate.load;
        let interval = event_interval_with(engine, load, query.size.prompt);
        let time_fraction =
            (scored.runner_ready + interval).as_secs_f64() / query.target_latency.as_secs_f64();
        let missing = query.size.memory().saturating_sub(scored.candidate.free_memory);
        let time_cost = values.of(query.size.prompt, query.rank) * LATENCY_COST * time_fraction;
        let is_compared_by_time = count > 1 && order != HelperOrder::CostFirst;
        // The answer waits for the runner's part like for those of the helpers.
        let (time_cost, choice_cost) = match is_compared_by_time {
            true => {
                let ready_cost = scored.runner_ready.as_secs_f64() * READY_COST;
                (time_cost.max(ready_cost), scored.choice_cost(order))
            },
            false => (time_cost, scored.candidate.choice_costs.any),
        };
        scored.cost
            + time_cost
            + packing_cost(engine, load, values, query)
            + values.of(missing, query.rank)
            + choice_cost
    };
    let with_room = scored_candidates.iter().enumerate().filter(|(_, scored)| has_room(scored));
    let best = with_room.min_by(|left, right| cost(left.1).total_cmp(&cost(right.1)));
    best.map(|(index, _)| index)
}

/// Returns the packing cost of running a request on an engine with this load.
///
/// For a prompt that is packed, it is zero on an engine with [`PACKED_FRACTION`] of its slots in use
/// and rises as more or fewer are. For a longer one, it is negative on an engine with fewer in use.
fn packing_cost(
    engine: &EngineModel,
    load: &EndpointLoad,
    values: RequestValues,
    query: &PlacementQuery,
) -> f64 {
    let packed_slots = f64::from(engine.slots) * PACKED_FRACTION;
    let free_fraction = 1.0 - f64::from(load.running) / packed_slots;
    PACKING_COST
        * if values.is_packed(query.size.prompt) { free_fraction.abs() } else { -free_fraction }
}

/// Returns the time between two events of a new stream that is decoded along with those of `load`.
fn event_interval_with(engine: &EngineModel, load: &EndpointLoad, prompt: TokenCount) -> Duration {
    engine.event_interval(load.stream_count() + 1, load.context.saturating_add(prompt))
}

/// Divides the memory that does not fit on the runner among the helpers.
///
/// Returns `None` if the helpers do not have enough free memory.
fn split_memory(
    memory: TokenCount,
    runner: &ScoredCandidate<'_>,
    helpers: &[&ScoredCandidate<'_>],
) -> Option<Vec<HelperPart>> {
    let mut missing = memory.saturating_sub(runner.candidate.free_memory);
    let mut parts = Vec::with_capacity(helpers.len());
    let mut remaining = helpers.len();
    for helper in helpers {
        let even_part = missing.div_ceil(u64::try_from(remaining.max(1)).unwrap_or(1));
        let part = even_part
            .max(MIN_HELPER_MEMORY.min(missing))
            .min(helper.candidate.free_memory)
            .min(missing);
        missing -= part;
        remaining -= 1;
        parts.push(HelperPart { endpoint: helper.candidate.endpoint.clone(), memory: part });
    }
    (missing == 0).then_some(parts)
}

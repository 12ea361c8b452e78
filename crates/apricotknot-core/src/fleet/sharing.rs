//! Weighs by how many endpoints, and by which, a prompt is read.

use std::time::Duration;

use super::EngineModel;
use super::HelperPart;
use super::PlacementAsk;
use super::PlacementPlan;
use super::endpoint_load::EndpointLoad;
use super::placement::FAILURE_COST;
use super::placement::LATE_SHARE;
use super::placement::TIMELY_SHARE;
use super::placement::value_of;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::TokenCount;

/// Most endpoints that read one prompt: the one that runs it and 16 helpers.
pub(super) const MAX_SHARES: usize = 17;

/// Numbers of endpoints that are weighed for one prompt, beside all that there are.
const SHARE_COUNTS: [usize; 8] = [1, 2, 3, 4, 6, 8, 11, 14];

/// Shortest part of a prompt that is worth another endpoint.
const MIN_PART: Duration = Duration::from_millis(40);

/// Longest part of a prompt for one endpoint while others could read some of it.
const MAX_PART: Duration = Duration::from_millis(1_500);

/// Value that each endpoint costs that takes part.
const SEAT_COST: f64 = 0.02;

/// Part of a request's value that an answer right at the end of its time has lost.
const TIME_COST: f64 = 0.3;

/// Value of an endpoint that writes no short streams, to the long prompts to come.
const EMPTY_COST: f64 = 0.3;

/// Part of an engine's slots that short streams fill before another engine is used.
const PACKED_SHARE: f64 = 0.75;

/// Value that others can gain by a second of an endpoint's time, while all are in use.
const RENT: f64 = 1.5;

/// Backlog of an endpoint that counts as in full use.
const BUSY_BACKLOG: Duration = Duration::from_millis(300);

/// Smallest part of a prompt that is held for another endpoint, in tokens.
const MIN_HELD: TokenCount = 4_000;

/// One endpoint that may take part.
#[derive(Clone, Debug)]
pub(super) struct ShareSeat {
    pub(super) endpoint: EndpointId,
    pub(super) slots: u32,
    pub(super) free_memory: TokenCount,
    /// Part of recent attempts that failed.
    pub(super) failures: f64,
    /// How many times slower than expected the endpoint is.
    pub(super) slowness: f64,
    pub(super) is_cold: bool,
    /// Time until all reads under way at the endpoint are done.
    pub(super) backlog: Duration,
    /// Time until its reads for others are done.
    pub(super) helper_backlog: Duration,
    /// Cost that makes nodes choose differently among endpoints that are nearly equal.
    pub(super) spread: f64,
    pub(super) load: EndpointLoad,
}

/// A plan, with what it is worth.
#[derive(Clone, Debug)]
pub(super) struct SharePlan {
    /// Value that is gained, less the value that others lose.
    pub(super) net: f64,
    /// Whether the answer is expected to begin on time.
    pub(super) is_timely: bool,
    /// Whether none of the endpoints has anything to read.
    pub(super) is_idle: bool,
    pub(super) plan: PlacementPlan,
}

/// One endpoint as weighed for a part of one length.
struct WeighedSeat<'a> {
    seat: &'a ShareSeat,
    /// Value that others lose, and that the endpoint's failures cost.
    harm: f64,
    /// Time until the endpoint has read its part, if it runs the request.
    ready: Duration,
    /// Time until the endpoint has read its part, if it helps.
    helper_ready: Duration,
}

/// Returns the plan with the largest net value, if there is room for any.
pub(super) fn best_plan(
    engine: &EngineModel,
    seats: Vec<ShareSeat>,
    ask: &PlacementAsk,
    now: MonotonicTime,
) -> Option<SharePlan> {
    let read = engine.read_time(ask.size.prompt);
    let rent = read.as_secs_f64() * RENT * fleet_load(engine, &seats);
    if seats.is_empty() {
        return None;
    }
    let all = seats.len().min(MAX_SHARES);
    let counts = SHARE_COUNTS.into_iter().filter(|count| *count < all).chain([all]);
    let plans = counts.filter_map(|count| {
        let parts = u32::try_from(count).unwrap_or(u32::MAX);
        let part = read / parts;
        let is_needless = count > 1 && part < MIN_PART;
        let is_too_long = part > MAX_PART && count < all;
        if is_needless || is_too_long {
            return None;
        }
        plan_for(engine, &seats, ask, count, part, now)
    });
    let plans = plans.map(|plan| SharePlan { net: plan.net - rent, ..plan });
    plans.max_by(|left, right| left.net.total_cmp(&right.net))
}

/// Returns the part of the endpoints' time that is in use, from 0 to 1.
fn fleet_load(engine: &EngineModel, seats: &[ShareSeat]) -> f64 {
    let loads = seats.iter().map(|seat| {
        let running = f64::from(seat.load.running) / f64::from(engine.slots.max(1));
        let reading = seat.backlog.as_secs_f64() / BUSY_BACKLOG.as_secs_f64();
        running.max(reading).min(1.0)
    });
    loads.sum::<f64>() / (seats.len().max(1) as f64)
}

fn plan_for(
    engine: &EngineModel,
    seats: &[ShareSeat],
    ask: &PlacementAsk,
    count: usize,
    part: Duration,
    now: MonotonicTime,
) -> Option<SharePlan> {
    let mut weighed: Vec<WeighedSeat<'_>> =
        seats.iter().map(|seat| weigh(engine, seat, part)).collect();
    weighed.sort_by(|left, right| {
        let (left, right) = (left.order(), right.order());
        left.0.total_cmp(&right.0).then(left.1.cmp(&right.1))
    });
    let runner = choose_runner(engine, &weighed, ask, count)?;
    let runner = weighed.remove(runner);
    let helpers: Vec<&WeighedSeat<'_>> = weighed
        .iter()
        .filter(|weighed| !weighed.seat.is_cold && weighed.seat.load.helping < weighed.seat.slots)
        .take(count - 1)
        .collect();
    if helpers.len() + 1 < count {
        return None;
    }
    let held = hold(ask.size.memory(), &runner, &helpers)?;
    let ready = helpers.iter().map(|helper| helper.helper_ready).fold(runner.ready, Duration::max);
    let first_event = ready + pass_with(engine, &runner.seat.load, ask.size.prompt);
    let harm: f64 = runner.harm + helpers.iter().map(|helper| helper.harm).sum::<f64>();
    let is_timely =
        now.saturating_sub(ask.arrived) + first_event <= ask.target_latency.mul_f64(TIMELY_SHARE);
    let value = value_of(ask.size.prompt);
    let gain = if is_timely { value } else { value * LATE_SHARE };
    let horizon = match is_timely {
        true => ask.target_latency,
        false => ask.deadline.saturating_sub(ask.arrived),
    };
    let time = first_event.as_secs_f64() / horizon.as_secs_f64().max(1e-3);
    let net = gain * (1.0 - TIME_COST * time.min(1.0))
        - harm
        - SEAT_COST * count as f64
        - emptiness_cost(engine, &runner.seat.load, ask);
    Some(SharePlan {
        net,
        is_timely,
        is_idle: helpers.iter().chain([&&runner]).all(|weighed| weighed.seat.load.is_idle()),
        plan: PlacementPlan {
            endpoint: runner.seat.endpoint.clone(),
            memory: ask.size.memory() - held.iter().map(|part| part.memory).sum::<TokenCount>(),
            helpers: held,
            read_time: part,
            expected: first_event,
        },
    })
}

impl WeighedSeat<'_> {
    fn order(&self) -> (f64, Duration) {
        let spread = Duration::from_secs_f64(self.seat.spread / RENT);
        (self.harm, self.helper_ready + spread)
    }
}

fn weigh<'a>(engine: &EngineModel, seat: &'a ShareSeat, part: Duration) -> WeighedSeat<'a> {
    let is_busy = seat.load.writers() > 0;
    let under_way = if is_busy { seat.load.pass(engine) / 2 } else { Duration::ZERO };
    WeighedSeat {
        seat,
        harm: seat.load.harm(engine, seat.backlog, part) + seat.failures * FAILURE_COST,
        ready: (under_way + seat.backlog + part).mul_f64(seat.slowness),
        helper_ready: (under_way + seat.helper_backlog + part).mul_f64(seat.slowness),
    }
}

/// Chooses the endpoint that runs the request, among those that have a place for it.
fn choose_runner(
    engine: &EngineModel,
    weighed: &[WeighedSeat<'_>],
    ask: &PlacementAsk,
    count: usize,
) -> Option<usize> {
    let needed = if count == 1 { ask.size.memory() } else { ask.size.memory().min(MIN_HELD) };
    let has_place = |weighed: &WeighedSeat<'_>| {
        weighed.seat.load.running < engine.slots && weighed.seat.free_memory >= needed
    };
    let cost = |weighed: &WeighedSeat<'_>| {
        let load = &weighed.seat.load;
        let pass = pass_with(engine, load, ask.size.prompt);
        let time = (weighed.ready + pass).as_secs_f64() / ask.target_latency.as_secs_f64();
        let missing = ask.size.memory().saturating_sub(weighed.seat.free_memory);
        weighed.harm
            + value_of(ask.size.prompt) * TIME_COST * time
            + emptiness_cost(engine, load, ask)
            + value_of(missing)
            + weighed.seat.spread
    };
    let places = weighed.iter().enumerate().filter(|(_, weighed)| has_place(weighed));
    let best = places.min_by(|left, right| cost(left.1).total_cmp(&cost(right.1)));
    best.map(|(index, _)| index)
}

/// Returns what it costs to begin to use an empty engine for a short stream.
fn emptiness_cost(engine: &EngineModel, load: &EndpointLoad, ask: &PlacementAsk) -> f64 {
    let packed = f64::from(engine.slots) * PACKED_SHARE;
    let free = 1.0 - f64::from(load.running) / packed;
    EMPTY_COST * if value_of(ask.size.prompt) < 3.0 { free.abs() } else { -free }
}

/// Returns the time between two events of a stream that is written beside those of `load`.
fn pass_with(engine: &EngineModel, load: &EndpointLoad, prompt: TokenCount) -> Duration {
    engine.pass_time(load.writers() + 1, load.context + prompt)
}

/// Spreads what does not fit the runner's memory over the helpers.
///
/// Returns `None` where they have too little room.
fn hold(
    memory: TokenCount,
    runner: &WeighedSeat<'_>,
    helpers: &[&WeighedSeat<'_>],
) -> Option<Vec<HelperPart>> {
    let mut missing = memory.saturating_sub(runner.seat.free_memory);
    let mut parts = Vec::with_capacity(helpers.len());
    let mut left = helpers.len();
    for helper in helpers {
        let even = missing.div_ceil(u64::try_from(left.max(1)).unwrap_or(1));
        let part = even.max(MIN_HELD.min(missing)).min(helper.seat.free_memory).min(missing);
        missing -= part;
        left -= 1;
        parts.push(HelperPart { endpoint: helper.seat.endpoint.clone(), memory: part });
    }
    (missing == 0).then_some(parts)
}

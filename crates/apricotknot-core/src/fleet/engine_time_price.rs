//! Price of engine time: what short requests lose while engines prefill long prompts.
//!
//! Short requests need engines without a long prefill. Each node derives from the work of all nodes
//! how many engines they need, so all nodes arrive at nearly the same price without agreeing on it,
//! and knowledge that is late changes it little.

use std::time::Duration;

use super::EngineModel;
use super::endpoint_load::EndpointLoad;
use super::request_value::LATE_VALUE_FRACTION;
use crate::types::MonotonicTime;

/// Prefill backlog at which an engine counts as taken from short requests.
const TAKEN_BACKLOG: Duration = Duration::from_millis(300);

/// Fraction of an engine's slots that short requests fill without delaying one another.
const FILLED_FRACTION: f64 = 0.75;

/// Number of standard deviations by which arrivals may exceed their mean.
const ARRIVAL_DEVIATIONS: f64 = 2.0;

/// Fraction of the engines that is kept for short requests whatever their number.
///
/// A prefill cannot be taken back when a burst of short requests begins, and lasts up to seconds.
const RESERVED_FRACTION: f64 = 0.35;

/// Exponent of the ratio of engines that short requests need to engines that are left to them, in
/// the probability that a short request finds none.
const SCARCITY_EXPONENT: i32 = 6;

/// Minimum estimate of the time for which a short request occupies a slot.
const MIN_SLOT_TIME: Duration = Duration::from_millis(250);

/// Maximum estimate of that time; a longer one means that short requests are already late.
const MAX_SLOT_TIME: Duration = Duration::from_millis(2_000);

/// Sums up the short requests and the engines that are left to them, for the price of their time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineTimePrice {
    /// Engines that short requests need.
    needed: f64,
    /// Engines that no long prompt takes.
    free: f64,
    /// Value that short requests lose per second for each missing engine.
    loss_per_second: f64,
}

impl EngineTimePrice {
    /// Derives the price from the load and the prefill backlog of each engine.
    pub(super) fn new<'a>(
        engine: &EngineModel,
        loads: impl Iterator<Item = (&'a EndpointLoad, Duration)>,
        now: MonotonicTime,
    ) -> Self {
        let (mut engines, mut free, mut count, mut value, mut age) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for (load, backlog) in loads {
            engines += 1.0;
            free += 1.0 - (backlog.as_secs_f64() / TAKEN_BACKLOG.as_secs_f64()).min(1.0);
            for (since, request_value) in load.short_requests() {
                count += 1.0;
                value += request_value;
                age += now.saturating_sub(since).as_secs_f64();
            }
        }
        if count == 0.0 {
            return Self { free, ..Self::default() };
        }
        let slots = f64::from(engine.slots.max(1)) * FILLED_FRACTION;
        // A request in progress has on average passed half of its time.
        let slot_time =
            (2.0 * age / count).clamp(MIN_SLOT_TIME.as_secs_f64(), MAX_SLOT_TIME.as_secs_f64());
        let needed = (count + ARRIVAL_DEVIATIONS * f64::sqrt(count)) / slots;
        let loss = value / count * (1.0 - LATE_VALUE_FRACTION);
        Self {
            needed: needed.max(engines * RESERVED_FRACTION),
            free,
            loss_per_second: loss * slots / slot_time,
        }
    }

    /// Returns the cost of `time` of each of `count` engines, in units of request value.
    pub(super) fn cost(&self, count: usize, time: Duration) -> f64 {
        let count = count as f64;
        // Half of the engines that are taken counts as taken already: the price rises meanwhile.
        let left = (self.free - count / 2.0).max(0.5);
        let scarcity = (self.needed / left).min(1.0).powi(SCARCITY_EXPONENT);
        scarcity * self.loss_per_second * count * time.as_secs_f64()
    }
}

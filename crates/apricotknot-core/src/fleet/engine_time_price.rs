//! Price of engine time: what requests that arrive later lose while engines prefill a long prompt.

use std::time::Duration;

use super::EngineModel;
use super::placement_candidate::PlacementCandidate;

/// Value that other requests gain per second of engine time when all engines are busy.
const BUSY_PRICE: f64 = 1.5;

/// Prefill backlog at which an engine counts as busy.
const BUSY_BACKLOG: Duration = Duration::from_millis(300);

/// Returns the price of a second of engine time, in units of request value.
///
/// While engines are idle, nobody misses the time. The busier they are, the more likely a request
/// that arrives finds none. Each node derives the price from the work of all nodes, so for the same
/// candidates all arrive at nearly the same one without agreeing on it.
pub(super) fn price_per_second(engine: &EngineModel, candidates: &[PlacementCandidate]) -> f64 {
    let utilizations = candidates.iter().map(|candidate| {
        let running = f64::from(candidate.load.running) / f64::from(engine.slots.max(1));
        let prefill = candidate.backlog.as_secs_f64() / BUSY_BACKLOG.as_secs_f64();
        running.max(prefill).min(1.0)
    });
    BUSY_PRICE * utilizations.sum::<f64>() / (candidates.len().max(1) as f64)
}

//! Price of engine time: what requests that arrive later lose while engines prefill a long prompt.

use std::time::Duration;

use super::EngineModel;
use super::placement_candidate::PlacementCandidate;

/// Value that other requests gain per second of engine time when all engines are busy.
const BUSY_PRICE: f64 = 1.5;

/// Prefill backlog at which an engine counts as busy.
const BUSY_BACKLOG: Duration = Duration::from_millis(300);

/// Price of engine time, as one node knows the work of all nodes.
///
/// While engines are idle, nobody misses the time. The busier they are, the more likely a request
/// that arrives finds none. For the same candidates all nodes arrive at nearly the same price without
/// agreeing on it.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineTimePrice {
    utilization: f64,
}

impl EngineTimePrice {
    /// Derives the price from the load of the endpoints that may run the request.
    pub(super) fn of(engine: &EngineModel, candidates: &[PlacementCandidate]) -> Self {
        let utilizations = candidates.iter().map(|candidate| {
            let running = f64::from(candidate.load.running) / f64::from(engine.slots.max(1));
            let prefill = candidate.backlog.as_secs_f64() / BUSY_BACKLOG.as_secs_f64();
            running.max(prefill).min(1.0)
        });
        let utilization = utilizations.sum::<f64>() / (candidates.len().max(1) as f64);
        Self { utilization }
    }

    /// Returns the mean utilization of the endpoints, from 0 to 1.
    pub(super) fn utilization(self) -> f64 {
        self.utilization
    }

    /// Returns the price of `time` at one engine, in units of request value.
    pub(super) fn of_time(self, time: Duration) -> f64 {
        BUSY_PRICE * self.utilization * time.as_secs_f64()
    }
}

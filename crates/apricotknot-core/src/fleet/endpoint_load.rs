//! Total work of all nodes at one endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use super::EngineModel;
use super::FleetState;
use super::WorkItem;
use super::WorkPhase;
use super::WorkRole;
use super::placement_costs::TIMELY_FRACTION;
use super::request_value::LATE_VALUE_FRACTION;
use super::request_value::RequestValues;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::TokenCount;

/// Prefill time that delays the requests queued behind it without loss of value.
const TOLERATED_DELAY: Duration = Duration::from_millis(100);

/// Prefill time beyond [`TOLERATED_DELAY`] at which the requests queued behind it lose all of their
/// value.
const FULL_LOSS_DELAY: Duration = Duration::from_secs(1);

/// Sums up the work of all nodes at one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointLoad {
    /// Number of requests that the endpoint runs.
    pub(super) running: u32,
    /// Number of attempts for which the endpoint is a helper.
    pub(super) helper_count: u32,
    /// Memory in use, in tokens.
    pub(super) memory: TokenCount,
    /// Tokens that each decoding step attends to.
    pub(super) context: TokenCount,
    /// Pause limit and value of each stream that the endpoint decodes.
    streams: Vec<(Duration, f64)>,
    /// Total value of the requests that the endpoint runs and has not begun to answer.
    prefill_value: f64,
    /// Whether a request has not begun to be answered of which the endpoint prefills all or a part.
    has_prefill: bool,
}

impl EndpointLoad {
    fn add(&mut self, work: &WorkItem, values: RequestValues) {
        self.memory += work.memory;
        match work.role {
            WorkRole::Runner => self.running += 1,
            WorkRole::Helper => self.helper_count += 1,
        }
        if work.phase == WorkPhase::Decode {
            self.context += work.memory;
            if work.role == WorkRole::Runner {
                self.streams.push((work.pause_limit, values.of_work(work)));
            }
            return;
        }
        self.has_prefill = true;
        if work.role == WorkRole::Runner {
            self.prefill_value += values.of_work(work);
        }
    }

    /// Returns the number of streams that the endpoint decodes as their runner.
    pub(super) fn stream_count(&self) -> u32 {
        u32::try_from(self.streams.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the endpoint has no prefill in progress.
    pub(super) fn has_no_prefill(&self) -> bool {
        !self.has_prefill
    }

    /// Returns the time between two events of the current streams if no prefill delays them.
    pub(super) fn event_interval(&self, engine: &EngineModel) -> Duration {
        engine.event_interval(self.stream_count(), self.context)
    }

    /// Returns the value that the requests at the endpoint lose if it prefills for `part_time`
    /// after a backlog of `backlog`.
    pub(super) fn interference_cost(
        &self,
        engine: &EngineModel,
        backlog: Duration,
        part_time: Duration,
    ) -> f64 {
        if self.streams.is_empty() && self.prefill_value == 0.0 {
            return 0.0;
        }
        let longest_pause = self.event_interval(engine) + backlog + part_time;
        let late: f64 = self
            .streams
            .iter()
            .filter(|(limit, _)| longest_pause > limit.mul_f64(TIMELY_FRACTION))
            .map(|(_, value)| value * (1.0 - LATE_VALUE_FRACTION))
            .sum();
        let delay =
            part_time.saturating_sub(TOLERATED_DELAY).as_secs_f64() / FULL_LOSS_DELAY.as_secs_f64();
        late + self.prefill_value * delay.min(1.0)
    }
}

/// Returns the total work of all nodes at each endpoint that has any.
pub(super) fn sum_loads(
    fleet: &FleetState,
    now: MonotonicTime,
) -> BTreeMap<&EndpointId, EndpointLoad> {
    let values = RequestValues::new(fleet.load_knowledge());
    let mut loads: BTreeMap<&EndpointId, EndpointLoad> = BTreeMap::new();
    for work in fleet.work_items(now) {
        loads.entry(&work.endpoint).or_default().add(work, values);
    }
    loads
}

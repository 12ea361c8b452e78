//! Sums up the work at one endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use super::EngineModel;
use super::FleetBoard;
use super::WorkItem;
use super::WorkPhase;
use super::WorkRole;
use super::placement::LATE_SHARE;
use super::placement::TIMELY_SHARE;
use super::placement::value_of;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::TokenCount;

/// Read time of a part from which those that read behind it are late.
const SLOW_READ: Duration = Duration::from_millis(150);

/// Holds the work of all nodes at one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointLoad {
    /// Requests that the endpoint runs.
    pub(super) running: u32,
    /// Prompts that the endpoint reads for others.
    pub(super) helping: u32,
    /// Memory in use, in tokens.
    pub(super) memory: TokenCount,
    /// Tokens that each step of the endpoint goes through.
    pub(super) context: TokenCount,
    /// Longest pause that is on time, and value, of each stream that is written.
    writers: Vec<(Duration, f64)>,
    /// Values of the requests that have not begun to be answered.
    reader_values: f64,
    /// Start and length of each read that is under way.
    reads: Vec<(MonotonicTime, Duration)>,
}

impl EndpointLoad {
    fn add(&mut self, work: &WorkItem) {
        self.memory += work.memory;
        match work.role {
            WorkRole::Runner => self.running += 1,
            WorkRole::Helper => self.helping += 1,
        }
        if work.phase == WorkPhase::Writing {
            self.context += work.memory;
            if work.role == WorkRole::Runner {
                self.writers.push((work.pause_limit, value_of(work.prompt)));
            }
            return;
        }
        self.reads.push((work.since, work.read_time));
        if work.role == WorkRole::Runner {
            self.reader_values += value_of(work.prompt);
        }
    }

    /// Returns the number of streams that are written.
    pub(super) fn writers(&self) -> u32 {
        u32::try_from(self.writers.len()).unwrap_or(u32::MAX)
    }

    /// Returns the time until all reads under way are done, one after the other.
    pub(super) fn backlog(&self, now: MonotonicTime) -> Duration {
        let mut reads = self.reads.clone();
        reads.sort_unstable();
        let ends = reads.into_iter();
        let end = ends.fold(MonotonicTime::ZERO, |end, (since, time)| end.max(since) + time);
        end.saturating_sub(now)
    }

    /// Returns the time between two events of the streams that are written, without any reads.
    pub(super) fn pass(&self, engine: &EngineModel) -> Duration {
        engine.pass_time(self.writers(), self.context)
    }

    /// Returns the value that requests at the endpoint lose if it reads for `part` more.
    pub(super) fn harm(&self, engine: &EngineModel, part: Duration, now: MonotonicTime) -> f64 {
        if self.writers.is_empty() && self.reader_values == 0.0 {
            return 0.0;
        }
        let longest = self.pass(engine) + self.backlog(now) + part;
        let late: f64 = self
            .writers
            .iter()
            .filter(|(limit, _)| longest > limit.mul_f64(TIMELY_SHARE))
            .map(|(_, value)| value * (1.0 - LATE_SHARE))
            .sum();
        let readers = if part > SLOW_READ { self.reader_values * 0.5 } else { 0.0 };
        late + readers
    }
}

/// Sums up the work of all nodes at each endpoint.
pub(super) fn sum_loads(
    board: &FleetBoard,
    now: MonotonicTime,
) -> BTreeMap<&EndpointId, EndpointLoad> {
    let mut loads: BTreeMap<&EndpointId, EndpointLoad> = BTreeMap::new();
    for work in board.works(now) {
        loads.entry(&work.endpoint).or_default().add(work);
    }
    loads
}

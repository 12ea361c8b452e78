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

/// Read time of a part that those that are read behind it do not notice.
const SLOW_READ: Duration = Duration::from_millis(100);

/// Read time beyond that by which those that are read behind it lose all of their value.
const RUINOUS_READ: Duration = Duration::from_secs(1);

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
    /// Start and length of each read for requests that the endpoint runs.
    own_reads: Vec<(MonotonicTime, Duration)>,
    /// Start and length of each read for others, which go ahead of the endpoint's own.
    helper_reads: Vec<(MonotonicTime, Duration)>,
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
        let read = (work.since, work.read_time);
        match work.role {
            WorkRole::Helper => self.helper_reads.push(read),
            WorkRole::Runner => {
                self.own_reads.push(read);
                self.reader_values += value_of(work.prompt);
            },
        }
    }

    /// Returns the number of streams that are written.
    pub(super) fn writers(&self) -> u32 {
        u32::try_from(self.writers.len()).unwrap_or(u32::MAX)
    }

    /// Returns the time until all reads under way are done, one after the other.
    pub(super) fn backlog(&self, now: MonotonicTime) -> Duration {
        let reads = self.own_reads.iter().chain(&self.helper_reads).copied();
        time_to_read(reads.collect(), now)
    }

    /// Returns the time until the reads for others are done, one after the other.
    pub(super) fn helper_backlog(&self, now: MonotonicTime) -> Duration {
        time_to_read(self.helper_reads.clone(), now)
    }

    /// Returns whether nothing is read.
    pub(super) fn is_idle(&self) -> bool {
        self.own_reads.is_empty() && self.helper_reads.is_empty()
    }

    /// Returns the time between two events of the streams that are written, without any reads.
    pub(super) fn pass(&self, engine: &EngineModel) -> Duration {
        engine.pass_time(self.writers(), self.context)
    }

    /// Returns the value that requests at the endpoint lose if it reads for `part` more, behind
    /// reads that take `backlog`.
    pub(super) fn harm(&self, engine: &EngineModel, backlog: Duration, part: Duration) -> f64 {
        if self.writers.is_empty() && self.reader_values == 0.0 {
            return 0.0;
        }
        let longest = self.pass(engine) + backlog + part;
        let late: f64 = self
            .writers
            .iter()
            .filter(|(limit, _)| longest > limit.mul_f64(TIMELY_SHARE))
            .map(|(_, value)| value * (1.0 - LATE_SHARE))
            .sum();
        let delay = part.saturating_sub(SLOW_READ).as_secs_f64() / RUINOUS_READ.as_secs_f64();
        late + self.reader_values * delay.min(1.0)
    }
}

fn time_to_read(mut reads: Vec<(MonotonicTime, Duration)>, now: MonotonicTime) -> Duration {
    reads.sort_unstable();
    let ends = reads.into_iter();
    let end = ends.fold(MonotonicTime::ZERO, |end, (since, time)| end.max(since) + time);
    end.saturating_sub(now)
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

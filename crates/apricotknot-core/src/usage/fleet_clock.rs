//! Estimate of the time of day from the clocks of all nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::UnixTime;

/// Time for which a reading counts.
const READING_LIFETIME: Duration = Duration::from_secs(5);

/// Time for which the reading with the shortest delay replaces later ones of the same node.
const DELAY_FILTER_TIME: Duration = Duration::from_secs(1);

/// Largest difference from the estimate that is taken as drift; a larger one is a jump.
const MAX_DRIFT: Duration = Duration::from_millis(100);

/// Time for which the median has to differ by a jump before the estimate follows it.
const JUMP_HOLD: Duration = Duration::from_secs(60);

/// Part of a drift that one update corrects.
const DRIFT_DIVISOR: u32 = 8;

/// Ratio of the nodes that have told their time to those behind the estimate from which the former
/// replace it: a node that starts with a wrong clock has only that one.
const BETTER_SUPPORT_FACTOR: usize = 2;

/// Difference between the time of day of a node and the monotonic clock of this one.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    offset: Duration,
    read_at: MonotonicTime,
}

#[derive(Clone, Copy, Debug)]
struct ClockEstimate {
    offset: Duration,
    /// Largest number of nodes whose median agreed with the estimate.
    support: usize,
}

/// Estimates the time of day as the median of the nodes' clocks.
///
/// The monotonic clock carries the estimate on, so the jump of a clock changes nothing, even if it
/// is that of this node or those of many nodes jump for a while.
#[derive(Clone, Debug)]
pub struct FleetClock {
    readings: BTreeMap<NodeId, ClockReading>,
    estimate: ClockEstimate,
    /// Time since which the median differs from the estimate by a jump.
    differs_since: Option<MonotonicTime>,
}

impl FleetClock {
    /// Creates the clock of a node whose own one shows `wall` at `now`.
    pub fn new(wall: UnixTime, now: MonotonicTime) -> Self {
        let estimate = ClockEstimate { offset: wall.saturating_sub(now), support: 1 };
        Self { readings: BTreeMap::new(), estimate, differs_since: None }
    }

    /// Records that the clock of `node` showed `wall` at `now` or shortly before.
    pub fn record(&mut self, node: &NodeId, wall: UnixTime, now: MonotonicTime) {
        let reading = ClockReading { offset: wall.saturating_sub(now), read_at: now };
        let kept = self.readings.get(node).filter(|known| {
            // A message that was delayed makes the clock of its sender look late.
            known.offset > reading.offset && now < known.read_at + DELAY_FILTER_TIME
        });
        if kept.is_none() {
            self.readings.insert(NodeId::clone(node), reading);
        }
    }

    /// Removes old readings, and lets the estimate follow the others.
    pub fn update(&mut self, now: MonotonicTime) {
        self.readings.retain(|_, reading| reading.read_at + READING_LIFETIME > now);
        let Some(median) = self.median() else {
            return;
        };
        let nodes = self.readings.len();
        let estimate = &mut self.estimate;
        let difference = median.abs_diff(estimate.offset);
        if difference <= MAX_DRIFT {
            self.differs_since = None;
            estimate.support = estimate.support.max(nodes);
            estimate.offset = match median > estimate.offset {
                true => estimate.offset + difference / DRIFT_DIVISOR,
                false => estimate.offset - difference / DRIFT_DIVISOR,
            };
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        if nodes >= estimate.support * BETTER_SUPPORT_FACTOR || now >= since + JUMP_HOLD {
            *estimate = ClockEstimate { offset: median, support: nodes };
            self.differs_since = None;
        }
    }
}

impl FleetClock {
    /// Returns the time of day at `moment`.
    pub fn time_at(&self, moment: MonotonicTime) -> UnixTime {
        self.estimate.offset + moment
    }

    /// Returns the number of nodes with a recent reading.
    pub fn node_count(&self) -> usize {
        self.readings.len()
    }

    /// Returns the median of the offsets; of two middle ones, that nearer to the estimate.
    fn median(&self) -> Option<Duration> {
        let mut offsets: Vec<Duration> =
            self.readings.values().map(|reading| reading.offset).collect();
        offsets.sort_unstable();
        let upper = *offsets.get(offsets.len() / 2)?;
        let lower = *offsets.get((offsets.len() - 1) / 2)?;
        let estimate = self.estimate.offset;
        let is_upper = upper.abs_diff(estimate) < lower.abs_diff(estimate);
        Some(if is_upper { upper } else { lower })
    }
}

//! Recent load of one service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::MonotonicTime;

/// Times over which a load is observed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct WindowTimes {
    /// Time of the brief mean.
    pub(super) brief: Duration,
    /// Time of the lasting mean.
    pub(super) lasting: Duration,
    /// Time for which peaks are remembered.
    pub(super) peak: Duration,
}

/// Mean load of one service, in endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct MeanLoad {
    /// Mean over a time in which no endpoint that is ordered could serve.
    pub(super) brief: f64,
    /// Mean over a longer time.
    pub(super) lasting: f64,
}

/// Keeps the recent load of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadWindow {
    /// Load of each sample, oldest first.
    samples: VecDeque<(MonotonicTime, f64)>,
    /// Means at each sample, oldest first.
    means: VecDeque<(MonotonicTime, MeanLoad)>,
    /// Time of the first sample.
    since: Option<MonotonicTime>,
}

impl LoadWindow {
    /// Adds the load at `now`.
    pub(super) fn record(&mut self, load: f64, times: WindowTimes, now: MonotonicTime) {
        self.since.get_or_insert(now);
        self.samples.push_back((now, load));
        drop_older(&mut self.samples, now.saturating_sub(times.lasting));
        let mean = MeanLoad {
            brief: self.mean_since(now.saturating_sub(times.brief)),
            lasting: self.mean_since(now.saturating_sub(times.lasting)),
        };
        self.means.push_back((now, mean));
        drop_older(&mut self.means, now.saturating_sub(times.peak));
    }
}

impl LoadWindow {
    /// Returns the mean load at the last sample.
    pub(super) fn mean(&self) -> MeanLoad {
        self.means.back().map_or_else(MeanLoad::default, |(_, mean)| *mean)
    }

    /// Returns the largest means that are remembered.
    pub(super) fn peak(&self) -> MeanLoad {
        self.means.iter().fold(MeanLoad::default(), |peak, (_, mean)| MeanLoad {
            brief: peak.brief.max(mean.brief),
            lasting: peak.lasting.max(mean.lasting),
        })
    }

    /// Returns for how long the load has been recorded.
    pub(super) fn age(&self, now: MonotonicTime) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    fn mean_since(&self, since: MonotonicTime) -> f64 {
        let recent = self.samples.iter().rev().take_while(|(at, _)| *at >= since);
        let (count, total) =
            recent.fold((0, 0.0), |(count, total), (_, load)| (count + 1, total + load));
        total / f64::from(count.max(1))
    }
}

fn drop_older<T>(samples: &mut VecDeque<(MonotonicTime, T)>, oldest: MonotonicTime) {
    while samples.front().is_some_and(|(at, _)| *at < oldest) {
        samples.pop_front();
    }
}

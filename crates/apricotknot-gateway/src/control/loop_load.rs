//! Load of the control thread's loop, for the log.

use std::time::Duration;

use apricotknot_core::types::MonotonicTime;

/// Length of one interval over which the load is measured.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of an interval above which the thread counts as overloaded.
const OVERLOAD_FRACTION: f64 = 0.5;

/// Input that the loop handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum InputKind {
    /// Commands of traffic threads.
    Commands(usize),
    /// Datagrams of other nodes.
    Datagrams(usize),
    /// An event of the feed, or the end of the tick interval.
    Other,
}

/// Describes an interval in which the thread was overloaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct OverloadReport {
    /// Length of the interval.
    pub(super) length: Duration,
    /// Time that the thread spent on inputs, or waited for the processor.
    pub(super) busy: Duration,
    /// Commands handled.
    pub(super) commands: usize,
    /// Datagrams of other nodes received.
    pub(super) datagrams: usize,
}

/// Measures how much of the time the loop handles inputs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoopLoad {
    began: MonotonicTime,
    busy: Duration,
    commands: usize,
    datagrams: usize,
}

impl LoopLoad {
    /// Records an input that was handled from `woken` to `now`.
    ///
    /// At the end of an interval in which the thread was overloaded, returns a report.
    pub(super) fn record(
        &mut self,
        kind: InputKind,
        woken: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<OverloadReport> {
        self.busy += now.saturating_sub(woken);
        match kind {
            InputKind::Commands(count) => self.commands += count,
            InputKind::Datagrams(count) => self.datagrams += count,
            InputKind::Other => {},
        }
        let length = now.saturating_sub(self.began);
        if length < LOAD_INTERVAL {
            return None;
        }
        let ended = std::mem::replace(self, Self { began: now, ..Self::default() });
        let report = OverloadReport {
            length,
            busy: ended.busy,
            commands: ended.commands,
            datagrams: ended.datagrams,
        };
        (ended.busy >= length.mul_f64(OVERLOAD_FRACTION)).then_some(report)
    }
}

//! Decides when a node sends its counts.

use std::time::Duration;

use super::UsageWindows;
use crate::types::MonotonicTime;
use crate::types::UnixTime;
use crate::types::WindowNumber;

/// Shortest time between two snapshots after changes.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two snapshots after changes, for each node of the fleet.
///
/// One node receives the snapshots of all others. The larger one of both bounds applies.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(2);

/// Time after the end of a window in which requests that began in it become known.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// Part of a window over which the nodes spread their snapshots after its end.
const SPREAD_FRACTION: f64 = 0.1;

/// Number of snapshots after the end of each window; datagrams may be lost.
const FINAL_SNAPSHOTS: u32 = 3;

/// Part of a window between two snapshots after its end.
const REPEAT_FRACTION: f64 = 0.1;

/// Decides when a node sends its counts: after changes, after the end of a window, and when other
/// nodes become recipients.
#[derive(Clone, Debug)]
pub struct CountSchedule {
    windows: UsageWindows,
    /// Fraction of the spread after which this node sends, so that nodes do not send at once.
    turn: f64,
    sent_at: Option<MonotonicTime>,
    has_changes: bool,
    is_requested: bool,
    /// Window whose end was last followed by snapshots.
    final_window: WindowNumber,
    /// Number of snapshots after the end of that window.
    final_sent: u32,
}

impl CountSchedule {
    /// Creates the schedule of a node; `turn`, from 0 to 1, tells nodes apart.
    pub fn new(windows: UsageWindows, turn: f64) -> Self {
        Self {
            windows,
            turn: turn.clamp(0.0, 1.0),
            sent_at: None,
            has_changes: false,
            is_requested: false,
            final_window: 0,
            final_sent: 0,
        }
    }

    /// Records that a request was counted.
    pub fn record_change(&mut self) {
        self.has_changes = true;
    }

    /// Makes the next snapshot due at once.
    pub fn request(&mut self) {
        self.is_requested = true;
    }

    /// Returns whether a snapshot is due in a fleet of `node_count` nodes, and if so records that it
    /// is sent.
    pub fn take_due(&mut self, now: MonotonicTime, time: UnixTime, node_count: usize) -> bool {
        let node_count = u32::try_from(node_count).unwrap_or(u32::MAX);
        let interval = INTERVAL_PER_NODE.saturating_mul(node_count).max(MIN_INTERVAL);
        let may_send = self.sent_at.is_none_or(|sent_at| now >= sent_at + interval);
        let is_due =
            self.is_requested || self.is_final_due(now, time) || (self.has_changes && may_send);
        if is_due {
            self.sent_at = Some(now);
            self.has_changes = false;
            self.is_requested = false;
            self.record_final(time);
        }
        is_due
    }

    /// Counts a snapshot that is sent at `time` as one after the end of a window, if it is.
    fn record_final(&mut self, time: UnixTime) {
        let ended = self.first_open(time);
        if ended != self.final_window {
            self.final_window = ended;
            self.final_sent = 0;
        }
        if time >= self.final_time(ended, self.final_sent) {
            self.final_sent += 1;
        }
    }
}

impl CountSchedule {
    /// Returns the first window that may still grow at `time`.
    pub fn first_open(&self, time: UnixTime) -> WindowNumber {
        self.windows.window_at(time.saturating_sub(SETTLE_TIME.min(self.windows.length() / 4)))
    }

    fn is_final_due(&self, now: MonotonicTime, time: UnixTime) -> bool {
        let ended = self.first_open(time);
        let sent = if ended == self.final_window { self.final_sent } else { 0 };
        // A node that starts or wakes late does not send them all at once.
        let repeat = self.windows.length().mul_f64(REPEAT_FRACTION);
        let is_spaced = sent == 0 || self.sent_at.is_none_or(|sent_at| now >= sent_at + repeat);
        sent < FINAL_SNAPSHOTS && is_spaced && time >= self.final_time(ended, sent)
    }

    /// Returns when the snapshot after the window before `first_open`, and after `sent` others, is
    /// sent.
    fn final_time(&self, first_open: WindowNumber, sent: u32) -> UnixTime {
        let length = self.windows.length();
        let settled = self.windows.start(first_open) + SETTLE_TIME.min(length / 4);
        let spread = length.mul_f64(SPREAD_FRACTION * self.turn);
        settled + spread + length.mul_f64(REPEAT_FRACTION) * sent
    }
}

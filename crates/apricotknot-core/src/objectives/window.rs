//! Counts of good and bad requests over sliding windows.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::types::MonotonicTime;

/// Number of slots of each window; counts expire slot by slot.
pub const SLOTS_PER_WINDOW: usize = 30;

/// Names a sliding window over which the burn rate is reported.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum BurnWindow {
    /// The last five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// The last hour.
    #[serde(rename = "1h")]
    OneHour,
    /// The last six hours.
    #[serde(rename = "6h")]
    SixHours,
    /// The last three days.
    #[serde(rename = "3d")]
    ThreeDays,
}

impl BurnWindow {
    /// All windows, shortest first.
    pub const ALL: [Self; 4] = [Self::FiveMinutes, Self::OneHour, Self::SixHours, Self::ThreeDays];

    /// Returns the length of the window.
    pub fn length(self) -> Duration {
        match self {
            Self::FiveMinutes => Duration::from_secs(5 * 60),
            Self::OneHour => Duration::from_secs(60 * 60),
            Self::SixHours => Duration::from_secs(6 * 60 * 60),
            Self::ThreeDays => Duration::from_secs(3 * 24 * 60 * 60),
        }
    }

    /// Returns the name that reports use.
    pub fn name(self) -> &'static str {
        match self {
            Self::FiveMinutes => "5m",
            Self::OneHour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        }
    }

    fn slot_at(self, now: MonotonicTime) -> u64 {
        let slots = now.as_millis() * SLOTS_PER_WINDOW as u128 / self.length().as_millis();
        u64::try_from(slots).unwrap_or(u64::MAX)
    }
}

/// Holds a number of good and bad requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestCount {
    /// Requests that met the objective.
    pub good: u64,
    /// Requests that did not meet the objective.
    pub bad: u64,
}

impl RequestCount {
    /// Returns the number of all requests, good and bad.
    pub fn total(self) -> u64 {
        self.good + self.bad
    }

    pub(super) fn add(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
    }
}

/// Holds the slots of one window as a ring buffer; `newest` is the number of the newest slot.
#[derive(Clone, Debug)]
struct SlotRing {
    slots: [RequestCount; SLOTS_PER_WINDOW],
    newest: u64,
}

/// Counts requests over all windows.
#[derive(Clone, Debug)]
pub struct WindowCounter {
    rings: [SlotRing; BurnWindow::ALL.len()],
}

impl Default for WindowCounter {
    fn default() -> Self {
        let ring = SlotRing { slots: [RequestCount::default(); SLOTS_PER_WINDOW], newest: 0 };
        Self { rings: std::array::from_fn(|_| ring.clone()) }
    }
}

impl WindowCounter {
    /// Counts one request that ended at `now`.
    pub fn count(&mut self, is_good: bool, now: MonotonicTime) {
        let one = RequestCount { good: u64::from(is_good), bad: u64::from(!is_good) };
        for (window, ring) in BurnWindow::ALL.into_iter().zip(&mut self.rings) {
            ring.advance(window.slot_at(now));
            ring.slots[index_of(ring.newest)].add(one);
        }
    }

    /// Returns the slots of a window that ends at `now`, oldest first.
    pub fn slots(&self, window: BurnWindow, now: MonotonicTime) -> Vec<RequestCount> {
        let newest = window.slot_at(now);
        let position = BurnWindow::ALL.iter().position(|other| *other == window);
        let ring = &self.rings[position.unwrap_or_default()];
        (0..SLOTS_PER_WINDOW as u64).rev().map(|age| ring.slot_before(newest, age)).collect()
    }

    /// Returns the count over the whole window that ends at `now`.
    pub fn total(&self, window: BurnWindow, now: MonotonicTime) -> RequestCount {
        let mut total = RequestCount::default();
        self.slots(window, now).into_iter().for_each(|slot| total.add(slot));
        total
    }
}

impl SlotRing {
    /// Clears the slots between the newest one and `slot`, which becomes the newest.
    fn advance(&mut self, slot: u64) {
        let steps = slot.saturating_sub(self.newest).min(SLOTS_PER_WINDOW as u64);
        for step in 0..steps {
            self.slots[index_of(slot - step)] = RequestCount::default();
        }
        self.newest = self.newest.max(slot);
    }

    /// Returns the count of the slot `age` slots before `newest`; zero if none was counted there.
    fn slot_before(&self, newest: u64, age: u64) -> RequestCount {
        let Some(slot) = newest.checked_sub(age) else {
            return RequestCount::default();
        };
        if slot <= self.newest { self.slots[index_of(slot)] } else { RequestCount::default() }
    }
}

fn index_of(slot: u64) -> usize {
    usize::try_from(slot % SLOTS_PER_WINDOW as u64).unwrap_or_default()
}

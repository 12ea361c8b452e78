//! Counter of the requests that one node forwards.

use std::collections::BTreeMap;

use super::WindowCounts;
use crate::types::AccountId;
use crate::types::WindowNumber;

/// Number of windows that are kept.
const MAX_WINDOWS: usize = 8;

/// Largest number of counts in one part of a snapshot, so that it fits in a datagram.
const MAX_PART_COUNTS: usize = 400;

/// Counts requests by window and account.
#[derive(Clone, Debug, Default)]
pub struct UsageCounter {
    windows: BTreeMap<WindowNumber, BTreeMap<AccountId, u64>>,
}

impl UsageCounter {
    /// Counts a request that began to run in `window`.
    pub fn record(&mut self, window: WindowNumber, account: &AccountId) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(AccountId::clone(account)).or_default() += 1;
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Removes the windows before `first`.
    pub fn remove_before(&mut self, first: WindowNumber) {
        self.windows = self.windows.split_off(&first);
    }
}

impl UsageCounter {
    /// Returns the counts in parts that each fit in a datagram; there is at least one part.
    pub fn parts(&self) -> Vec<Vec<WindowCounts>> {
        let mut parts = vec![Vec::<WindowCounts>::new()];
        let mut room = MAX_PART_COUNTS;
        for (window, counts) in &self.windows {
            for (account, count) in counts {
                if room == 0 {
                    parts.push(Vec::new());
                    room = MAX_PART_COUNTS;
                }
                room -= 1;
                if let Some(part) = parts.last_mut() {
                    push_count(part, *window, account, *count);
                }
            }
        }
        parts
    }
}

fn push_count(part: &mut Vec<WindowCounts>, window: WindowNumber, account: &AccountId, count: u64) {
    if part.last().is_none_or(|last| last.window != window) {
        part.push(WindowCounts { window, counts: BTreeMap::new() });
    }
    if let Some(last) = part.last_mut() {
        last.counts.insert(AccountId::clone(account), count);
    }
}

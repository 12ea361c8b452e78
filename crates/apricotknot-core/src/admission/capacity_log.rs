//! Log of endpoints whose free capacity may have increased recently.

use std::collections::VecDeque;

use crate::types::EndpointId;

/// Counts the recorded increases of free capacity.
pub(super) type CapacityVersion = u64;

/// Largest number of increases in the log.
const MAX_ENTRIES: usize = 64;

/// Logs the newest increases of free capacity, so that a request that did not fit is tried again
/// only at endpoints whose free capacity may have increased since.
#[derive(Clone, Debug, Default)]
pub(super) struct CapacityLog {
    newest: CapacityVersion,
    recent: VecDeque<EndpointId>,
}

impl CapacityLog {
    /// Records that the free capacity of an endpoint may have increased.
    pub(super) fn record_increase(&mut self, endpoint: &EndpointId) {
        self.newest += 1;
        if self.recent.len() == MAX_ENTRIES {
            self.recent.pop_front();
        }
        self.recent.push_back(endpoint.clone());
    }

    /// Records that the free capacity of every endpoint may have increased.
    pub(super) fn record_increase_everywhere(&mut self) {
        self.newest += 1;
        self.recent.clear();
    }
}

impl CapacityLog {
    /// Returns the number of the newest increase.
    pub(super) fn newest(&self) -> CapacityVersion {
        self.newest
    }

    /// Returns the endpoints whose free capacity may have increased since increase `number`, each
    /// once and in order, or `None` if the log no longer reaches back that far.
    pub(super) fn increased_since(&self, number: CapacityVersion) -> Option<Vec<&EndpointId>> {
        let count = usize::try_from(self.newest.checked_sub(number)?).ok()?;
        let first = self.recent.len().checked_sub(count)?;
        let mut endpoints: Vec<&EndpointId> = self.recent.range(first..).collect();
        endpoints.sort_unstable();
        endpoints.dedup();
        Some(endpoints)
    }
}

//! Remembers at which endpoints room has grown lately.

use std::collections::VecDeque;

use crate::types::EndpointId;

/// Counts the growths of endpoints' room.
pub(super) type CapacityVersion = u64;

/// Growths remembered at most.
const MAX_ENTRIES: usize = 64;

/// Remembers the newest growths of room, so that a request that did not fit before is tried only
/// where room has grown since.
#[derive(Clone, Debug, Default)]
pub(super) struct CapacityLog {
    newest: CapacityVersion,
    recent: VecDeque<EndpointId>,
}

// Commands.
impl CapacityLog {
    /// Notes that an endpoint may have more room.
    pub(super) fn record_increase(&mut self, endpoint: &EndpointId) {
        self.newest += 1;
        if self.recent.len() == MAX_ENTRIES {
            self.recent.pop_front();
        }
        self.recent.push_back(endpoint.clone());
    }

    /// Notes that every endpoint may have more room.
    pub(super) fn record_increase_everywhere(&mut self) {
        self.newest += 1;
        self.recent.clear();
    }
}

// Queries.
impl CapacityLog {
    /// Returns the number of the newest growth.
    pub(super) fn newest(&self) -> CapacityVersion {
        self.newest
    }

    /// Returns the endpoints with more room since growth `number`, or `None` when that is too
    /// long ago to tell.
    pub(super) fn increased_since(&self, number: CapacityVersion) -> Option<Vec<&EndpointId>> {
        let count = usize::try_from(self.newest.checked_sub(number)?).ok()?;
        let first = self.recent.len().checked_sub(count)?;
        let mut endpoints: Vec<&EndpointId> = self.recent.range(first..).collect();
        endpoints.sort_unstable();
        endpoints.dedup();
        Some(endpoints)
    }
}

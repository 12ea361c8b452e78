//! Endpoints that vanished and may be back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::EndpointSample;
use super::EndpointStatus;
use crate::types::DataCentreId;
use crate::types::EndpointId;
use crate::types::MonotonicTime;

/// Largest number of endpoints that a data centre had lately.
#[derive(Clone, Copy, Debug)]
struct RecentCount {
    count: u32,
    seen_at: MonotonicTime,
}

/// Remembers the endpoints that vanished without having said that they leave.
///
/// The platform starts them again, maybe under other ids, so they are not ordered a second time.
#[derive(Clone, Debug, Default)]
pub(super) struct LostEndpoints {
    /// Endpoints of the last sample that did not leave, with their data centres.
    announced: BTreeMap<EndpointId, DataCentreId>,
    /// Endpoints that vanished, with the time.
    lost: BTreeMap<EndpointId, (DataCentreId, MonotonicTime)>,
    recent: BTreeMap<DataCentreId, RecentCount>,
}

impl LostEndpoints {
    /// Compares the announced endpoints with those of the last sample.
    ///
    /// An endpoint that has been lost for `return_time` is not expected any more.
    pub(super) fn record(
        &mut self,
        endpoints: &[EndpointSample],
        return_time: Duration,
        now: MonotonicTime,
    ) {
        let previous = std::mem::take(&mut self.announced);
        for (endpoint, centre) in previous {
            self.lost.entry(endpoint).or_insert((centre, now));
        }
        for sample in endpoints {
            self.lost.remove(&sample.id);
            if sample.status != EndpointStatus::Leaving {
                self.announced.insert(Arc::clone(&sample.id), Arc::clone(&sample.data_centre));
            }
        }
        self.lost.retain(|_, (_, lost_at)| now < *lost_at + return_time);
        self.update_recent(return_time, now);
    }

    /// Updates the largest numbers of the last `return_time`; a data centre that has as many as then has
    /// lost none.
    fn update_recent(&mut self, return_time: Duration, now: MonotonicTime) {
        for centre in self.announced.values() {
            let count = RecentCount { count: 0, seen_at: now };
            self.recent.entry(Arc::clone(centre)).or_insert(count);
        }
        for (centre, recent) in &mut self.recent {
            let announced = self.announced.values().filter(|known| *known == centre).count();
            let count = u32::try_from(announced).unwrap_or(u32::MAX);
            if count >= recent.count {
                self.lost.retain(|_, (known, _)| known != centre);
            }
            if count >= recent.count || now >= recent.seen_at + return_time {
                *recent = RecentCount { count, seen_at: now };
            }
        }
    }
}

impl LostEndpoints {
    /// Returns the number of endpoints that should be back soon in each data centre.
    pub(super) fn counts(&self) -> impl Iterator<Item = (&DataCentreId, u32)> {
        self.recent.iter().map(|(centre, recent)| {
            let announced = self.announced.values().filter(|known| *known == centre).count();
            let lost = self.lost.values().filter(|(known, _)| known == centre).count();
            let missing = recent.count.saturating_sub(u32::try_from(announced).unwrap_or(u32::MAX));
            (centre, missing.min(u32::try_from(lost).unwrap_or(u32::MAX)))
        })
    }
}

//! Endpoints that vanished and may be back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::EndpointSample;
use super::EndpointStatus;
use crate::types::DataCentreId;
use crate::types::EndpointId;
use crate::types::MonotonicTime;

/// Remembers the endpoints that vanished without having said that they leave.
///
/// The platform starts them again, so they are not ordered a second time.
#[derive(Clone, Debug, Default)]
pub(super) struct LostEndpoints {
    /// Endpoints of the last sample that did not leave, with their data centres.
    announced: BTreeMap<EndpointId, DataCentreId>,
    /// Endpoints that vanished, with the time.
    lost: BTreeMap<EndpointId, (DataCentreId, MonotonicTime)>,
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
    }
}

impl LostEndpoints {
    /// Returns the data centre of each endpoint that should be back soon.
    pub(super) fn centres(&self) -> impl Iterator<Item = &DataCentreId> {
        self.lost.values().map(|(centre, _)| centre)
    }
}

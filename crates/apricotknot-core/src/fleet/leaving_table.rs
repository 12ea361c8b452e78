//! Endpoints that have said that they leave.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::types::EndpointId;
use crate::types::MonotonicTime;

/// Time for which an endpoint counts as leaving after it was last known to say so.
///
/// It covers the longest time that an endpoint may take to leave.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Maximum endpoints that are known to leave.
const MAX_LEAVING: usize = 4_096;

/// Reports to other nodes that an endpoint leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingReport {
    /// Endpoint that leaves.
    pub endpoint: EndpointId,
    /// Incarnation that said so.
    pub incarnation: u64,
}

/// Time at which an incarnation of an endpoint was last known to leave.
#[derive(Clone, Debug)]
pub(super) struct LeavingMark {
    pub(super) incarnation: u64,
    pub(super) known_at: MonotonicTime,
    pub(super) reported_until: MonotonicTime,
}

/// Holds the endpoints that leave; it outlives their registrations.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingTable {
    pub(super) marks: BTreeMap<EndpointId, LeavingMark>,
}

impl LeavingTable {
    /// Adds or renews a mark; returns whether the endpoint was not known to leave.
    pub(super) fn mark(&mut self, endpoint: EndpointId, mark: LeavingMark) -> bool {
        let now = mark.known_at;
        self.marks.retain(|_, known| now < known.known_at + LEAVING_RETENTION);
        let known = self.marks.get(&endpoint);
        if known.is_some_and(|known| known.incarnation > mark.incarnation) {
            return false;
        }
        let is_new = known.is_none_or(|known| known.incarnation != mark.incarnation);
        let told_until = known.map_or(mark.reported_until, |known| known.reported_until);
        if known.is_some() || self.marks.len() < MAX_LEAVING {
            let reported_until = mark.reported_until.max(told_until);
            self.marks.insert(endpoint, LeavingMark { reported_until, ..mark });
        }
        is_new
    }
}

//! Backoffs that endpoints have asked for and that have not ended.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Reports to another node that an endpoint wants no requests from it.
///
/// The node has relayed the request that the endpoint refused, without reading the answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackoffReport {
    /// Node that the endpoint answered.
    pub node: NodeId,
    /// Endpoint that asks for the backoff.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint.
    pub incarnation: u64,
    /// Time until the end of the backoff, in milliseconds.
    pub left_ms: u32,
}

/// Time until which an incarnation of an endpoint wants no requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct BackoffPeriod {
    pub(super) incarnation: u64,
    pub(super) until: MonotonicTime,
}

/// Holds the backoffs that have not ended; they outlive the registration of an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct BackoffTable {
    pub(super) own: BTreeMap<EndpointId, BackoffPeriod>,
    /// Backoffs asked of other nodes, which relayed requests of this one.
    pub(super) relayed: BTreeMap<(NodeId, EndpointId), BackoffPeriod>,
}

/// Extends the backoff under `key`; returns whether that makes it longer.
pub(super) fn extend<K: Ord>(
    periods: &mut BTreeMap<K, BackoffPeriod>,
    key: K,
    period: BackoffPeriod,
    now: MonotonicTime,
) -> bool {
    periods.retain(|_, known| known.until > now);
    let is_longer = periods
        .get(&key)
        .is_none_or(|known| known.incarnation != period.incarnation || known.until < period.until);
    if is_longer {
        periods.insert(key, period);
    }
    is_longer
}

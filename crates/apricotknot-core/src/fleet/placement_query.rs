//! Request that is to be placed.

use std::time::Duration;

use super::RequestSize;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::PriorityRank;
use crate::types::RegionId;
use crate::types::ServiceId;

/// Describes the request to be placed.
#[derive(Clone, Debug)]
pub struct PlacementQuery {
    /// Service whose endpoints may run it.
    pub service: ServiceId,
    /// Size of the request.
    pub size: RequestSize,
    /// Regions whose endpoints may run it; all regions if `None`.
    pub regions: Option<Vec<RegionId>>,
    /// Endpoints that must not run it, such as those of earlier attempts.
    pub excluded: Vec<EndpointId>,
    /// Time at which the request arrived.
    pub arrived: MonotonicTime,
    /// Time after its arrival by which the answer must begin to be on time.
    pub target_latency: Duration,
    /// Longest pause between two events that counts as on time.
    pub pause_limit: Duration,
    /// Time after which an answer is of no use to the caller.
    pub deadline: MonotonicTime,
    /// Rank of the request's priority.
    pub rank: PriorityRank,
    /// Share of the price of engine time that the request pays, as [`price_share`](super::price_share)
    /// returns it.
    pub price_share: f64,
}

/// Position of a request among the waiting ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueuePosition {
    /// Number of older requests that wait at any node and are no larger.
    pub rank: usize,
    /// Number of requests of the same service that wait before it at this node.
    pub ahead: usize,
}

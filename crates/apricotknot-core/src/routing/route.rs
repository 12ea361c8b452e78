//! One route, as operators configure it.

use std::sync::Arc;
use std::time::Duration;

use crate::types::RegionId;
use crate::types::ServiceId;

/// Says how often a call may run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once for each attempt of the caller.
    NonIdempotent,
    /// It is answered by a stream of numbered events.
    Stream,
}

impl CallKind {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Stream => "stream",
        }
    }
}

/// Sends a part of a route's requests to one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedTarget {
    /// Service that takes the part.
    pub service: ServiceId,
    /// Size of the part, in relation to the route's other targets.
    pub weight: u32,
}

/// Describes one route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteSpec {
    /// Names the route.
    pub name: Arc<str>,
    /// Host that the route belongs to, in lower case.
    pub host: Arc<str>,
    /// Start of the paths that the route takes; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Services that the requests go to.
    pub targets: Vec<WeightedTarget>,
    /// How often a call may run.
    pub kind: CallKind,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub pause_limit: Option<Duration>,
    /// Rank of the route, 0 first.
    pub priority: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a broken stream may go on at another endpoint.
    pub is_resumable: bool,
    /// Regions whose endpoints may take the requests; any region where empty.
    pub regions: Vec<RegionId>,
}

impl RouteSpec {
    /// Returns whether a request may run again after an attempt that may have run.
    pub fn is_retry_safe(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream => self.is_resumable,
        }
    }

    /// Picks the service of one request; `draw` is a number drawn evenly from all of `u32`.
    pub fn pick_service(&self, draw: u32) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = (u64::from(draw) * total) >> u32::BITS;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}

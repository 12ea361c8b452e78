//! Configuration of one route.

use std::sync::Arc;
use std::time::Duration;

use crate::types::RegionId;
use crate::types::ServiceId;

/// Kind of call; determines whether it may run more than once.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    /// The call may run more than once.
    Idempotent,
    /// The call may run at most once for each time that the caller sends it.
    NonIdempotent,
    /// The answer is a stream of numbered events.
    Stream,
}

impl CallKind {
    /// Returns the name that metrics and logs use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Stream => "stream",
        }
    }
}

/// Service that receives a fraction of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedTarget {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Weight relative to the other targets of the route; zero receives none.
    pub weight: u32,
}

/// Describes one route: the requests that it matches, their services and their limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteSpec {
    /// Name of the route in logs.
    pub name: Arc<str>,
    /// Host whose requests the route matches, in lower case.
    pub host: Arc<str>,
    /// Prefix of the paths that the route matches; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Services among which the requests are distributed.
    pub targets: Vec<WeightedTarget>,
    /// Kind of the calls; determines whether they may run more than once.
    pub kind: CallKind,
    /// Maximum endpoints to which one request may be sent, one after the other.
    pub max_attempts: u32,
    /// Maximum time for which a caller waits.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that counts as on time; unlimited if `None`.
    pub pause_limit: Option<Duration>,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether a broken stream may continue at another endpoint.
    pub is_resumable: bool,
    /// Regions whose endpoints may run the requests; all regions if empty.
    pub regions: Vec<RegionId>,
}

impl RouteSpec {
    /// Returns whether a request may be retried after an attempt that may have run.
    pub fn is_retry_safe(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream => self.is_resumable,
        }
    }

    /// Picks the service of one request in proportion to the weights.
    ///
    /// `draw` is a random number, uniform over all of `u32`. Returns `None` if no target has a
    /// weight.
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

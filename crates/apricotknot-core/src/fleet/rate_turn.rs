//! Turns of a node at endpoints whose request rate is limited, and the wait for the next one.

use std::time::Duration;

use super::PlacementDecision;
use crate::types::MonotonicTime;

/// Shortest retry delay that is sent to a caller.
const MIN_RETRY: Duration = Duration::from_millis(700);

/// Longest retry delay that is sent to a caller.
const MAX_RETRY: Duration = Duration::from_secs(10);

/// States when this node may send its next request to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateTurn {
    /// The request rate of the endpoint is not limited.
    Unlimited,
    /// The node may send at `next`, and then at intervals of `interval`.
    At {
        /// Time of the next request; it may have passed.
        next: MonotonicTime,
        /// Shortest time between two requests.
        interval: Duration,
    },
    /// Other nodes use the rate of the endpoint.
    Never,
}

impl RateTurn {
    /// Returns whether the node may send a request at `now`.
    pub fn is_open(&self, now: MonotonicTime) -> bool {
        match self {
            Self::Unlimited => true,
            Self::At { next, .. } => *next <= now,
            Self::Never => false,
        }
    }

    /// Returns the later of two turns.
    pub(super) fn later(self, other: Self) -> Self {
        match (self, other) {
            (Self::At { next, interval }, Self::At { next: other, interval: other_interval }) => {
                Self::At { next: next.max(other), interval: interval.max(other_interval) }
            },
            (Self::Never, _) | (_, Self::Never) => Self::Never,
            (Self::Unlimited, turn) | (turn, Self::Unlimited) => turn,
        }
    }

    /// Returns how many requests the node may send until `end`.
    fn sends_until(&self, end: MonotonicTime) -> usize {
        match self {
            Self::Unlimited => usize::MAX,
            Self::At { next, interval } if *next <= end => {
                let more = (end - *next).as_secs_f64() / interval.as_secs_f64().max(1e-3);
                1 + more as usize
            },
            Self::At { .. } | Self::Never => 0,
        }
    }
}

/// Decides on a request none of whose endpoints may get one now.
///
/// `ahead` is the number of requests of the same service that wait before it at this node,
/// `node_rate` the mean rate of one node at these endpoints, in requests per second.
pub(super) fn wait_for_rate(
    turns: &[RateTurn],
    ahead: usize,
    node_rate: f64,
    wait_until: MonotonicTime,
) -> PlacementDecision {
    let sends = turns.iter().map(|turn| turn.sends_until(wait_until));
    if sends.fold(0, usize::saturating_add) > ahead {
        return PlacementDecision::Wait;
    }
    let turn_time = Duration::try_from_secs_f64((ahead + 1) as f64 / node_rate);
    let retry_after = turn_time.unwrap_or(MAX_RETRY).clamp(MIN_RETRY, MAX_RETRY);
    PlacementDecision::Refuse { reason: "endpoints limit their request rate", retry_after }
}

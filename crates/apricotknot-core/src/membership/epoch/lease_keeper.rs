//! The one lease that a node holds in the key-value service.

use std::time::Duration;

use crate::membership::hash::hash_text;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Time from one renewal to the next.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which a renewal holds.
const LEASE_DURATION: Duration = Duration::from_secs(30);

/// Time after which a renewal without an answer is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Asks for something to be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Renew the lease for this long, or take it anew when the service has forgotten it.
    Renew {
        /// Time for which the lease is to hold.
        lease: Duration,
    },
}

/// Decides when to renew the lease, and whether it still holds.
///
/// The lease counts from the moment at which the renewal was sent, on this node's own clock, so it
/// has lapsed here before it lapses in the service.
#[derive(Clone, Debug)]
pub struct LeaseKeeper {
    own: NodeId,
    sent_at: Option<MonotonicTime>,
    next_renewal: MonotonicTime,
    expires_at: MonotonicTime,
    renewals: u64,
}

impl LeaseKeeper {
    /// Creates the keeper of node `own`, which holds no lease.
    pub fn new(own: impl Into<NodeId>) -> Self {
        Self {
            own: own.into(),
            sent_at: None,
            next_renewal: MonotonicTime::ZERO,
            expires_at: MonotonicTime::ZERO,
            renewals: 0,
        }
    }
}

/// Commands.
impl LeaseKeeper {
    /// Lets time pass.
    pub fn tick(&mut self, now: MonotonicTime) -> Option<LeaseAction> {
        if self.sent_at.is_some_and(|sent_at| now.saturating_sub(sent_at) < CALL_TIMEOUT) {
            return None;
        }
        if now < self.next_renewal {
            return None;
        }
        self.renewals += 1;
        self.sent_at = Some(now);
        let jitter = hash_text(self.renewals, &self.own) % 200;
        self.next_renewal = now + RENEW_INTERVAL.mul_f64(0.9 + jitter as f64 / 1_000.0);
        Some(LeaseAction::Renew { lease: LEASE_DURATION })
    }

    /// Takes that the service renewed the lease.
    pub fn renewed(&mut self) {
        if let Some(sent_at) = self.sent_at.take() {
            self.expires_at = sent_at + LEASE_DURATION;
        }
    }

    /// Takes that a renewal failed or that its answer was lost.
    pub fn failed(&mut self) {
        self.sent_at = None;
    }
}

/// Queries.
impl LeaseKeeper {
    /// Returns whether the lease holds at `now`.
    pub fn holds(&self, now: MonotonicTime) -> bool {
        now < self.expires_at
    }
}

//! The lease that each node holds in the key-value service.

use std::time::Duration;

use crate::membership::hash::hash_text;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Mean time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which a lease expires unless it is renewed.
const LEASE_DURATION: Duration = Duration::from_secs(30);

/// Time after which a renewal without a response is abandoned.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Requests an operation on the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Renew the lease, or acquire a new one if the service no longer has it.
    Renew {
        /// Requested duration of the lease.
        lease: Duration,
    },
}

/// Decides when to renew the lease, and whether it is still valid.
///
/// The duration counts from the moment at which the renewal was sent, on this node's own clock, so
/// the lease expires on the node before it expires in the service.
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

impl LeaseKeeper {
    /// Returns the renewal that is due at `now`; none while another one is in flight.
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

    /// Records that the service renewed the lease.
    pub fn renewed(&mut self) {
        if let Some(sent_at) = self.sent_at.take() {
            self.expires_at = sent_at + LEASE_DURATION;
        }
    }

    /// Records that a renewal failed or that its response was lost.
    pub fn failed(&mut self) {
        self.sent_at = None;
    }
}

impl LeaseKeeper {
    /// Returns whether the lease is valid at `now`.
    pub fn holds(&self, now: MonotonicTime) -> bool {
        now < self.expires_at
    }
}

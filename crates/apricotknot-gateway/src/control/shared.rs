//! What the control thread publishes to the traffic threads.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use apricotknot_core::routing::DesiredState;
use apricotknot_core::types::MonotonicTime;
use tokio::sync::watch;

use crate::clock::millis;

/// Holds how long what a node knows serves without being renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StalenessLimits {
    /// Age up to which a key that is known is let in.
    pub max_admit_age: Duration,
    /// Age up to which a route or key that is not known is denied for good.
    pub max_deny_age: Duration,
}

/// Holds the configuration in force and how old the knowledge of it is.
#[derive(Debug)]
pub struct SharedState {
    desired: watch::Sender<Option<Arc<DesiredState>>>,
    confirmed_at_ms: AtomicU64,
    is_stopping: AtomicBool,
    is_closed: AtomicBool,
    limits: StalenessLimits,
}

// Commands.
impl SharedState {
    /// Creates the state of a node that knows nothing yet.
    pub fn new(limits: StalenessLimits) -> Self {
        Self {
            desired: watch::Sender::new(None),
            confirmed_at_ms: AtomicU64::new(0),
            is_stopping: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            limits,
        }
    }

    /// Puts a configuration in force.
    pub fn set_desired(&self, desired: Arc<DesiredState>) {
        self.desired.send_replace(Some(desired));
    }

    /// Notes that the configuration in force was the newest one at `moment`.
    pub fn confirm_as_of(&self, moment: MonotonicTime) {
        self.confirmed_at_ms.fetch_max(millis(moment), Ordering::Release);
    }

    /// Notes that the node is about to stop.
    pub fn mark_stopping(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Notes that the node takes no more requests.
    pub fn mark_closed(&self) {
        self.is_closed.store(true, Ordering::Release);
    }
}

// Queries.
impl SharedState {
    /// Returns the configuration in force.
    pub fn desired(&self) -> Option<Arc<DesiredState>> {
        self.desired.borrow().clone()
    }

    /// Returns the time since the configuration in force was surely the newest one.
    pub fn configuration_age(&self, now: MonotonicTime) -> Duration {
        now.saturating_sub(Duration::from_millis(self.confirmed_at_ms.load(Ordering::Acquire)))
    }

    /// Returns whether the knowledge is young enough to let a key in.
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        self.desired.borrow().is_some() && self.configuration_age(now) <= self.limits.max_admit_age
    }

    /// Returns whether the knowledge is young enough to say that a route or key does not exist.
    pub fn may_deny(&self, now: MonotonicTime) -> bool {
        self.desired.borrow().is_some() && self.configuration_age(now) <= self.limits.max_deny_age
    }

    /// Returns whether the node is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Returns whether the node takes no more requests.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }

    /// Returns whether new connections should come to this node.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        self.is_fresh(now) && !self.is_stopping()
    }
}

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
pub struct KnowledgeLimits {
    /// Age up to which a key that is known is let in.
    pub admit: Duration,
    /// Age up to which a route or key that is not known is denied for good.
    pub deny: Duration,
}

/// Holds the configuration in force and how old the knowledge of it is.
#[derive(Debug)]
pub struct SharedState {
    desired: watch::Sender<Option<Arc<DesiredState>>>,
    known_at_ms: AtomicU64,
    is_stopping: AtomicBool,
    is_closed: AtomicBool,
    limits: KnowledgeLimits,
}

// Commands.
impl SharedState {
    /// Creates the state of a node that knows nothing yet.
    pub fn new(limits: KnowledgeLimits) -> Self {
        Self {
            desired: watch::Sender::new(None),
            known_at_ms: AtomicU64::new(0),
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
    pub fn confirm(&self, moment: MonotonicTime) {
        self.known_at_ms.fetch_max(millis(moment), Ordering::Release);
    }

    /// Notes that the node is about to stop.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Notes that the node takes no more requests.
    pub fn close(&self) {
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
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.saturating_sub(Duration::from_millis(self.known_at_ms.load(Ordering::Acquire)))
    }

    /// Returns whether the knowledge is young enough to let a key in.
    pub fn is_fresh(&self, now: MonotonicTime) -> bool {
        self.desired.borrow().is_some() && self.age(now) <= self.limits.admit
    }

    /// Returns whether the knowledge is young enough to say that a route or key does not exist.
    pub fn may_deny(&self, now: MonotonicTime) -> bool {
        self.desired.borrow().is_some() && self.age(now) <= self.limits.deny
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

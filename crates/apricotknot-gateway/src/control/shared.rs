//! State that the control thread publishes to the traffic threads.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use apricotknot_core::routing::ConfigurationTrust;
use apricotknot_core::routing::DesiredState;
use apricotknot_core::types::MonotonicTime;
use tokio::sync::watch;

use crate::clock::millis;
use crate::duties::DutyStatus;
use crate::duties::UsageStatus;
use crate::peers::PeerSeals;

/// Limits the age of the configuration by which requests are admitted and denied.
///
/// The age is the time since the key-value service last confirmed the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StalenessLimits {
    /// Age up to which a request with a known key is admitted.
    pub max_admit_age: Duration,
    /// Age up to which an unknown route or key is denied, rather than answered as not ready.
    pub max_deny_age: Duration,
}

impl StalenessLimits {
    fn trust_at(&self, age: Duration) -> ConfigurationTrust {
        ConfigurationTrust {
            may_admit: age <= self.max_admit_age,
            may_deny: age <= self.max_deny_age,
        }
    }
}

/// The configuration in force, as one request sees it from its admission on.
#[derive(Clone, Debug)]
pub struct ConfigurationView {
    /// Configuration in force.
    pub desired: Arc<DesiredState>,
    /// Time since it was last known to be the newest one.
    pub age: Duration,
    /// What the age allows to conclude from it.
    pub trust: ConfigurationTrust,
}

/// Holds the configuration in force, its age and the status of the node's shutdown.
#[derive(Debug)]
pub struct SharedState {
    desired: watch::Sender<Option<Arc<DesiredState>>>,
    peer_seals: watch::Sender<PeerSeals>,
    duties: watch::Sender<Vec<DutyStatus>>,
    confirmed_at_ms: AtomicU64,
    /// Time at which the node ends, in milliseconds, or 0 if it is not about to stop.
    stop_end_ms: AtomicU64,
    /// Whether the calls in progress have to end now.
    is_ending: watch::Sender<bool>,
    is_closed: AtomicBool,
    is_path_suspect: AtomicBool,
    usage_status: watch::Sender<Option<Arc<UsageStatus>>>,
    limits: StalenessLimits,
}

impl SharedState {
    /// Creates the state of a node that has no configuration yet.
    pub fn new(limits: StalenessLimits) -> Self {
        Self {
            desired: watch::Sender::new(None),
            peer_seals: watch::Sender::new(PeerSeals::default()),
            duties: watch::Sender::new(Vec::new()),
            confirmed_at_ms: AtomicU64::new(0),
            stop_end_ms: AtomicU64::new(0),
            is_ending: watch::Sender::new(false),
            is_closed: AtomicBool::new(false),
            is_path_suspect: AtomicBool::new(false),
            usage_status: watch::Sender::new(None),
            limits,
        }
    }

    /// Publishes a configuration to the traffic threads.
    pub fn set_desired(&self, desired: Arc<DesiredState>) {
        self.desired.send_replace(Some(desired));
    }

    /// Publishes the seals with which nodes prove that they belong to the fleet.
    pub fn set_peer_seals(&self, seals: PeerSeals) {
        self.peer_seals.send_replace(seals);
    }

    /// Publishes what this node knows about the duties.
    pub fn set_duties(&self, duties: Vec<DutyStatus>) {
        self.duties.send_replace(duties);
    }

    /// Publishes what the node knows of the fleet's usage.
    pub fn set_usage_status(&self, status: Arc<UsageStatus>) {
        self.usage_status.send_replace(Some(status));
    }

    /// Records that the configuration in force was the newest one at `moment`.
    pub fn confirm_as_of(&self, moment: MonotonicTime) {
        self.confirmed_at_ms.fetch_max(millis(moment), Ordering::Release);
    }

    /// Publishes whether the node failed to connect to an endpoint lately, and to none since.
    pub fn set_path_suspect(&self, is_suspect: bool) {
        self.is_path_suspect.store(is_suspect, Ordering::Release);
    }

    /// Records that the node is about to stop, and ends at `end`: until it is closed, it still accepts
    /// requests, but is not ready.
    pub fn mark_stopping(&self, end: MonotonicTime) {
        self.stop_end_ms.store(millis(end).max(1), Ordering::Release);
    }

    /// Records that the node accepts no more requests.
    pub fn mark_closed(&self) {
        self.is_closed.store(true, Ordering::Release);
    }

    /// Makes all calls in progress end with the answer that they can get now.
    pub fn mark_ending(&self) {
        self.is_ending.send_replace(true);
    }
}

impl SharedState {
    /// Returns the configuration in force, or `None` before the first one was read.
    pub fn desired(&self) -> Option<Arc<DesiredState>> {
        self.desired.borrow().clone()
    }

    /// Returns what this node knows about the duties; empty if there are none.
    pub fn duties(&self) -> Vec<DutyStatus> {
        self.duties.borrow().clone()
    }

    /// Returns the seals with which nodes prove that they belong to the fleet.
    pub fn peer_seals(&self) -> PeerSeals {
        self.peer_seals.borrow().clone()
    }

    /// Returns what the node knows of the fleet's usage, or `None` if it does not count any.
    pub fn usage_status(&self) -> Option<Arc<UsageStatus>> {
        self.usage_status.borrow().clone()
    }

    /// Returns the time since the configuration in force was last known to be the newest one.
    pub fn configuration_age(&self, now: MonotonicTime) -> Duration {
        now.saturating_sub(Duration::from_millis(self.confirmed_at_ms.load(Ordering::Acquire)))
    }

    /// Returns the configuration in force with what its age allows at `now`, or `None` before the
    /// first one was read.
    pub fn configuration_at(&self, now: MonotonicTime) -> Option<ConfigurationView> {
        // The age first: a configuration that is published in between only seems older than it is.
        let age = self.configuration_age(now);
        let desired = self.desired()?;
        Some(ConfigurationView { desired, age, trust: self.limits.trust_at(age) })
    }

    /// Returns whether the control thread wants to know of connections that are established.
    pub fn is_path_suspect(&self) -> bool {
        self.is_path_suspect.load(Ordering::Acquire)
    }

    /// Returns whether the node is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop_end_ms.load(Ordering::Acquire) > 0
    }

    /// Returns the time until the node ends, or `None` if it is not about to stop.
    pub fn time_to_end(&self, now: MonotonicTime) -> Option<Duration> {
        let end = self.stop_end_ms.load(Ordering::Acquire);
        (end > 0).then(|| Duration::from_millis(end).saturating_sub(now))
    }

    /// Returns whether the calls in progress have to end, now and whenever that changes.
    pub fn ending(&self) -> watch::Receiver<bool> {
        self.is_ending.subscribe()
    }

    /// Returns whether the node accepts no more requests.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }

    /// Returns whether the balancer should send new connections to this node.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        let view = self.configuration_at(now);
        view.is_some_and(|view| view.trust.may_admit) && !self.is_stopping()
    }
}

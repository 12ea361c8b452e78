//! Whether this node can connect to the endpoints itself.
//!
//! One endpoint that cannot be reached may be down. If none of several can be reached, it is the
//! node that is cut off from them, and their other callers may be served all the while.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::ServiceId;

/// Endpoints of one service that cannot be reached in a row before the node counts as cut off from
/// the service.
const SERVICE_FAILURES: usize = 2;

/// Endpoints of any service that cannot be reached in a row before the node counts as cut off from
/// all services.
const NODE_FAILURES: usize = 3;

/// Time after which a failed connection proves nothing any more.
const FAILURE_LIFETIME: Duration = Duration::from_secs(5);

/// Interval at which a node that is cut off tries one endpoint of each service itself.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Reports that this node is cut off from the endpoints of a service, or no more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathChange {
    /// Service whose endpoint was tried last.
    pub service: ServiceId,
    /// Whether the node is cut off from now on.
    pub is_cut_off: bool,
    /// Time from the first failed connection until the change.
    pub after: Duration,
    /// Number of endpoints that could not be reached.
    pub endpoints: usize,
}

/// Endpoints that this node could not reach, while others did.
#[derive(Clone, Debug, Default)]
struct CutLinks {
    endpoints: BTreeSet<EndpointId>,
    /// Time until which they count as cut off without a further failure.
    until: MonotonicTime,
}

/// Endpoints that could not be reached since a connection was last established.
#[derive(Clone, Debug, Default)]
struct FailureStreak {
    failures: BTreeMap<EndpointId, MonotonicTime>,
    began: Option<MonotonicTime>,
}

impl FailureStreak {
    fn record(&mut self, endpoint: &EndpointId, now: MonotonicTime) {
        self.failures.retain(|_, failed| now < *failed + FAILURE_LIFETIME);
        if self.failures.is_empty() {
            self.began = Some(now);
        }
        self.failures.insert(Arc::clone(endpoint), now);
    }

    fn count(&self, now: MonotonicTime) -> usize {
        self.failures.values().filter(|failed| now < **failed + FAILURE_LIFETIME).count()
    }
}

/// Holds which endpoints this node could not connect to lately, by service and in all.
#[derive(Clone, Debug, Default)]
pub struct PathHealth {
    services: BTreeMap<ServiceId, FailureStreak>,
    node: FailureStreak,
    /// When each endpoint could not be reached lately, whether others could or not.
    failures: BTreeMap<EndpointId, MonotonicTime>,
    cut_links: CutLinks,
    next_probes: BTreeMap<ServiceId, MonotonicTime>,
}

impl PathHealth {
    /// Records that no connection to an endpoint of `service` could be established.
    ///
    /// `endpoint_count` is the number of known endpoints of the service. Returns the change if the
    /// node counts as cut off from now on.
    pub fn record_unreached(
        &mut self,
        service: &ServiceId,
        endpoint: &EndpointId,
        endpoint_count: usize,
        now: MonotonicTime,
    ) -> Option<PathChange> {
        let was_cut_off = self.is_cut_off(service, endpoint_count, now);
        self.failures.retain(|_, failed| now < *failed + FAILURE_LIFETIME);
        self.failures.insert(Arc::clone(endpoint), now);
        if self.cut_links.endpoints.contains(endpoint) {
            self.cut_links.until = now + FAILURE_LIFETIME;
        }
        self.node.record(endpoint, now);
        let streak = self.services.entry(Arc::clone(service)).or_default();
        streak.record(endpoint, now);
        let is_cut_off = self.is_cut_off(service, endpoint_count, now);
        (is_cut_off && !was_cut_off).then(|| self.change(service, true, now))
    }

    /// Records that another node connected to an endpoint: if this one could not, its link is cut.
    pub fn record_relayed(&mut self, endpoint: &EndpointId, now: MonotonicTime) {
        let is_unreached =
            self.failures.get(endpoint).is_some_and(|failed| now < *failed + FAILURE_LIFETIME);
        if !is_unreached {
            return;
        }
        if now >= self.cut_links.until {
            self.cut_links.endpoints.clear();
        }
        self.cut_links.endpoints.insert(Arc::clone(endpoint));
        self.cut_links.until = now + FAILURE_LIFETIME;
    }

    /// Records that a connection to an endpoint of `service` was established.
    ///
    /// Returns the change if the node was cut off until now. Once one of several cut links works
    /// again, all are tried again.
    pub fn record_reached(
        &mut self,
        service: &ServiceId,
        endpoint: &EndpointId,
        endpoint_count: usize,
        now: MonotonicTime,
    ) -> Option<PathChange> {
        let was_cut_off = self.is_cut_off(service, endpoint_count, now);
        let change = was_cut_off.then(|| self.change(service, false, now));
        self.services.remove(service);
        self.node = FailureStreak::default();
        self.failures.remove(endpoint);
        if self.cut_links.endpoints.contains(endpoint) {
            self.cut_links = CutLinks::default();
        }
        change
    }

    /// Returns whether an endpoint of `service` is to be tried now, and begins the time until the
    /// next one.
    pub fn take_probe(&mut self, service: &ServiceId, now: MonotonicTime) -> bool {
        let next_probe = self.next_probes.entry(Arc::clone(service)).or_insert(now);
        let is_due = *next_probe <= now;
        if is_due {
            *next_probe = now + PROBE_INTERVAL;
        }
        is_due
    }

    fn change(&self, service: &ServiceId, is_cut_off: bool, now: MonotonicTime) -> PathChange {
        let began = self.services.get(service).and_then(|streak| streak.began).or(self.node.began);
        PathChange {
            service: Arc::clone(service),
            is_cut_off,
            after: now.saturating_sub(began.unwrap_or(now)),
            endpoints: self.node.count(now),
        }
    }
}

impl PathHealth {
    /// Returns whether no endpoint of `service`, which has `endpoint_count`, can be reached as far
    /// as is known.
    pub fn is_cut_off(
        &self,
        service: &ServiceId,
        endpoint_count: usize,
        now: MonotonicTime,
    ) -> bool {
        let needed = SERVICE_FAILURES.min(endpoint_count.max(1));
        self.node.count(now) >= NODE_FAILURES
            || self.services.get(service).is_some_and(|streak| streak.count(now) >= needed)
    }

    /// Returns whether this node cannot reach an endpoint that others reach.
    pub fn is_link_cut(&self, endpoint: &EndpointId, now: MonotonicTime) -> bool {
        now < self.cut_links.until && self.cut_links.endpoints.contains(endpoint)
    }

    /// Returns whether a connection failed lately that no later one has explained.
    pub fn is_suspect(&self, now: MonotonicTime) -> bool {
        self.node.count(now) > 0 || self.services.values().any(|streak| streak.count(now) > 0)
    }

    /// Returns the endpoints that could not be reached lately.
    pub fn unreached(&self) -> impl Iterator<Item = &EndpointId> {
        self.node.failures.keys().chain(self.services.values().flat_map(|it| it.failures.keys()))
    }
}

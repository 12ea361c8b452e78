//! Ways from this node to endpoints: which it cannot reach itself, and which other nodes can.

use super::FleetState;
use super::PathChange;
use super::WorkRole;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::ServiceId;

impl FleetState {
    /// Records that this node could not connect to an endpoint; returns the change if it counts as
    /// cut off from now on.
    pub fn record_unreached(
        &mut self,
        endpoint: &EndpointId,
        now: MonotonicTime,
    ) -> Option<PathChange> {
        let service = ServiceId::clone(&self.endpoints.get(endpoint)?.entry.service);
        let count = self.endpoint_count(&service);
        self.path_health.record_unreached(&service, endpoint, count, now)
    }

    /// Records that this node connected to an endpoint; returns the change if it was cut off until
    /// now.
    pub fn record_reached(
        &mut self,
        endpoint: &EndpointId,
        now: MonotonicTime,
    ) -> Option<PathChange> {
        let service = ServiceId::clone(&self.endpoints.get(endpoint)?.entry.service);
        let count = self.endpoint_count(&service);
        for state in self.endpoints.values_mut() {
            state.confirm_unreached();
        }
        self.path_health.record_reached(&service, endpoint, count, now)
    }

    /// Records that another node connected to an endpoint for this one.
    pub fn record_relayed(&mut self, endpoint: &EndpointId, now: MonotonicTime) {
        self.path_health.record_relayed(endpoint, now);
        if self.path_health.is_link_cut(endpoint, now)
            && let Some(state) = self.endpoints.get_mut(endpoint)
        {
            state.forget_unreached();
        }
    }

    /// Returns whether this node, which is cut off from `service`, is to try one of its endpoints.
    pub fn take_probe(&mut self, service: &ServiceId, now: MonotonicTime) -> bool {
        self.path_health.take_probe(service, now)
    }

    /// Takes back what failed connections have said of endpoints: this node is cut off, and other
    /// nodes reach them.
    pub fn forget_unreached(&mut self) {
        for endpoint in self.path_health.unreached() {
            if let Some(state) = self.endpoints.get_mut(endpoint) {
                state.forget_unreached();
            }
        }
    }
}

impl FleetState {
    /// Returns whether this node cannot connect to any endpoint of `service`, as far as it knows.
    pub fn is_cut_off(&self, service: &ServiceId, now: MonotonicTime) -> bool {
        self.path_health.is_cut_off(service, self.endpoint_count(service), now)
    }

    /// Returns whether this node cannot connect to an endpoint that may be sound.
    pub fn is_link_cut(&self, endpoint: &EndpointId, now: MonotonicTime) -> bool {
        let service = self.endpoints.get(endpoint).map(|state| &state.entry.service);
        self.path_health.is_link_cut(endpoint, now)
            || service.is_some_and(|service| self.is_cut_off(service, now))
    }

    /// Returns the other nodes that reach the endpoints of `service`, each with the number of
    /// attempts that it runs and of connections that it relays.
    pub fn relay_peers(
        &self,
        service: &ServiceId,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (&NodeId, u32)> {
        self.recent_peers(now).filter_map(move |(node, view)| {
            let relay = view.relay.as_ref()?;
            let runners = view.work_items.iter().filter(|work| work.role == WorkRole::Runner);
            let running = u32::try_from(runners.count()).unwrap_or(u32::MAX);
            let load = relay.open.saturating_add(running);
            (!relay.cut_services.contains(service)).then_some((node, load))
        })
    }

    /// Returns the services some of whose endpoints this node cannot reach, as far as it knows.
    pub fn cut_services(&self, now: MonotonicTime) -> Vec<ServiceId> {
        let is_cut = |service: &ServiceId| {
            let mut endpoints = self.endpoints.values().map(|state| &state.entry);
            self.is_cut_off(service, now)
                || endpoints
                    .any(|it| it.service == *service && self.path_health.is_link_cut(&it.id, now))
        };
        self.services.keys().filter(|service| is_cut(service)).cloned().collect()
    }

    /// Returns whether this node failed to connect to an endpoint lately, and to none since.
    pub fn is_path_suspect(&self, now: MonotonicTime) -> bool {
        self.path_health.is_suspect(now)
    }

    fn endpoint_count(&self, service: &ServiceId) -> usize {
        self.endpoints.values().filter(|state| state.entry.service == *service).count()
    }
}

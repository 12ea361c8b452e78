//! Ways to endpoints: whether this node is cut off, and which connections it relays for others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::PathChange;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::RelayCandidate;
use apricotknot_core::fleet::RelayDistance;
use apricotknot_core::fleet::RelayStatus;
use apricotknot_core::fleet::choose_relays;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::RegionId;
use apricotknot_core::types::ServiceId;

use super::ControlState;
use crate::control::EndpointPath;
use crate::control::NodeRecord;
use crate::control::RelayPeer;
use crate::control::RelayPermit;
use crate::relay::RelayRefusal;

/// Most connections that a node relays at a time.
const MAX_RELAYS: u32 = 200;

/// Time for which a node that did not relay is not asked again.
const RELAY_BACKOFF: Duration = Duration::from_secs(1);

impl ControlState {
    /// Records whether this node could connect to an endpoint.
    pub(super) fn record_path(
        &mut self,
        endpoint: &EndpointId,
        is_reached: bool,
        now: MonotonicTime,
    ) {
        let change = match is_reached {
            true => self.fleet.record_reached(endpoint, now),
            false => self.fleet.record_unreached(endpoint, now),
        };
        self.path_changes.extend(change);
        if is_reached {
            // Only the endpoints can be at fault that were not reached.
            self.confirm_suspects(now);
            return;
        }
        let Some(state) = self.fleet.endpoint(endpoint) else {
            return;
        };
        let service = Arc::clone(&state.entry.service);
        if !self.fleet.is_cut_off(&service, now) {
            return;
        }
        if self.fleet.relay_peers(&service, now).next().is_some() {
            self.fleet.forget_unreached();
            self.crash_suspects.clear();
        } else {
            self.confirm_suspects(now);
        }
    }

    fn confirm_suspects(&mut self, now: MonotonicTime) {
        for endpoint in std::mem::take(&mut self.crash_suspects) {
            self.quarantine.confirm_crashes(&endpoint, now);
        }
    }

    /// Records that a node did not relay.
    pub(super) fn record_relay_failed(&mut self, node: NodeId, now: MonotonicTime) {
        self.failed_relays.retain(|_, until| *until > now);
        self.failed_relays.insert(node, now + RELAY_BACKOFF);
    }

    /// Permits or refuses to relay a connection for another node.
    pub(super) fn permit_relay(
        &mut self,
        endpoint: &EndpointId,
        now: MonotonicTime,
    ) -> Result<RelayPermit, RelayRefusal> {
        let address = self.relay_address(endpoint, now)?;
        self.open_relays += 1;
        Ok(RelayPermit::new(address, self.handle.clone()))
    }

    /// Records that a relayed connection has ended.
    pub(super) fn record_relay_ended(&mut self) {
        self.open_relays = self.open_relays.saturating_sub(1);
    }
}

impl ControlState {
    /// Returns the way to an endpoint for a request.
    pub(super) fn path_to(
        &self,
        endpoint: &EndpointId,
        query: &PlacementQuery,
        now: MonotonicTime,
    ) -> EndpointPath {
        if !self.fleet.is_link_cut(endpoint, now) {
            return EndpointPath::Direct;
        }
        let peers = self.choose_peers(query, now);
        if peers.is_empty() {
            return EndpointPath::Direct;
        }
        EndpointPath::Relayed(peers)
    }

    /// Returns whether this node cannot connect to the endpoints of `service`, and others can.
    pub(super) fn needs_peers(&self, service: &ServiceId, now: MonotonicTime) -> bool {
        self.fleet.is_cut_off(service, now) && self.fleet.relay_peers(service, now).next().is_some()
    }

    /// Returns what other nodes are told of this node's part in relaying.
    pub(super) fn relay_status(&self, now: MonotonicTime) -> RelayStatus {
        RelayStatus { open: self.open_relays, cut_services: self.fleet.cut_services(now) }
    }

    fn relay_address(
        &self,
        endpoint: &EndpointId,
        now: MonotonicTime,
    ) -> Result<SocketAddr, RelayRefusal> {
        let state = self.fleet.endpoint(endpoint).ok_or(RelayRefusal::NotPermitted)?;
        if !self.fleet.may_send(state, now) {
            return Err(RelayRefusal::NotPermitted);
        }
        if self.fleet.is_link_cut(endpoint, now) {
            return Err(RelayRefusal::CutOff);
        }
        if self.open_relays >= MAX_RELAYS {
            return Err(RelayRefusal::Busy);
        }
        Ok(state.entry.address)
    }

    /// Returns the nodes to ask for a connection, the best one first.
    ///
    /// The body of the request passes through them, so they are in the regions that may run it.
    fn choose_peers(&self, query: &PlacementQuery, now: MonotonicTime) -> Vec<RelayPeer> {
        let relays = self.fleet.relay_peers(&query.service, now);
        let candidates = relays.filter_map(|(node, load)| {
            let record = self.registry.announced(node)?;
            let is_failed = self.failed_relays.get(node).is_some_and(|until| *until > now);
            let is_permitted = self.may_pass(record, query.regions.as_deref());
            let candidate =
                RelayCandidate { node: Arc::clone(node), distance: self.distance(record), load };
            (is_permitted && !is_failed).then_some(candidate)
        });
        let chosen = choose_relays(candidates.collect(), |count| rand::random_range(0..count));
        let peers = chosen.into_iter().filter_map(|node| {
            let address = self.registry.announced(&node)?.address;
            Some(RelayPeer { node, address })
        });
        peers.collect()
    }

    fn may_pass(&self, record: &NodeRecord, regions: Option<&[RegionId]>) -> bool {
        let Some(regions) = regions else {
            return true;
        };
        let centre = record.data_centre.as_deref();
        let region = centre.and_then(|centre| self.fleet.region(centre));
        region.is_some_and(|region| regions.contains(region))
    }

    fn distance(&self, record: &NodeRecord) -> RelayDistance {
        let Some(centre) = record.data_centre.as_deref() else {
            return RelayDistance::Far;
        };
        if !self.fleet.is_remote(centre) {
            return RelayDistance::Near;
        }
        match self.fleet.region(centre) == self.fleet.own_region() {
            true => RelayDistance::SameRegion,
            false => RelayDistance::Far,
        }
    }

    /// Takes the changes of whether endpoints can be reached since the last call.
    pub fn take_path_changes(&mut self) -> Vec<PathChange> {
        std::mem::take(&mut self.path_changes)
    }
}

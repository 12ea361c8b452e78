//! Options of the calls between nodes.

use std::net::SocketAddr;

use apricotknot_core::membership::MemberSettings;
use apricotknot_core::membership::MemberState;
use apricotknot_core::membership::MemberUpdate;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::IncarnationNumber;
use apricotknot_core::types::NodeId;
use apricotknot_wire::auth::KeyRing;

use crate::control::NodeClock;

/// Connections to peers that are kept open at most.
const MAX_CONNECTIONS: usize = 128;

/// Holds what the calls between nodes need to know.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    pub(super) node: NodeId,
    pub(super) data_centre: DataCentreId,
    pub(super) incarnation: IncarnationNumber,
    pub(super) listen: SocketAddr,
    pub(super) advertised: Option<SocketAddr>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) ring: KeyRing,
    pub(super) clock: NodeClock,
    pub(super) members: MemberSettings,
    pub(super) max_connections: usize,
}

impl PeerOptions {
    /// Creates options for a node that listens at `listen`.
    pub fn new(node: impl Into<NodeId>, listen: SocketAddr, ring: KeyRing) -> Self {
        Self {
            node: node.into(),
            data_centre: DataCentreId::from(""),
            incarnation: 1,
            listen,
            advertised: None,
            seeds: Vec::new(),
            ring,
            clock: NodeClock::start(),
            members: MemberSettings::default(),
            max_connections: MAX_CONNECTIONS,
        }
    }

    /// Sets the data centre of the node.
    pub fn data_centre(mut self, data_centre: impl Into<DataCentreId>) -> Self {
        self.data_centre = data_centre.into();
        self
    }

    /// Sets the incarnation, larger than in every earlier life: the time of the start since the
    /// Unix epoch, in milliseconds, does.
    pub fn incarnation(mut self, incarnation: impl Into<IncarnationNumber>) -> Self {
        self.incarnation = incarnation.into();
        self
    }

    /// Sets the address that peers are told, where it is not the one listened on.
    pub fn advertised(mut self, address: impl Into<SocketAddr>) -> Self {
        self.advertised = Some(address.into());
        self
    }

    /// Sets the addresses of the peers that the settings name.
    pub fn seeds(mut self, seeds: impl Into<Vec<SocketAddr>>) -> Self {
        self.seeds = seeds.into();
        self
    }

    /// Sets the clock of the node.
    pub fn clock(mut self, clock: impl Into<NodeClock>) -> Self {
        self.clock = clock.into();
        self
    }

    /// Sets the times and bounds of membership.
    pub fn members(mut self, members: impl Into<MemberSettings>) -> Self {
        self.members = members.into();
        self
    }

    /// Sets how many connections to peers are kept open at most.
    pub fn max_connections(mut self, count: impl Into<usize>) -> Self {
        self.max_connections = count.into();
        self
    }

    /// Returns how the node describes itself when it listens at `bound`.
    pub(super) fn own_member(&self, bound: SocketAddr) -> MemberUpdate {
        MemberUpdate {
            node: self.node.clone(),
            incarnation: self.incarnation,
            state: MemberState::Alive,
            address: self.advertised.unwrap_or(bound),
            data_centre: self.data_centre.clone(),
        }
    }
}

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

/// Default maximum number of open connections to peers.
const MAX_CONNECTIONS: usize = 128;

/// Holds the options of a [`PeerService`](super::PeerService).
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
    /// Creates options for a node that listens at `listen`, with incarnation 1 and no seeds.
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

    /// Sets the incarnation, which must be larger than every earlier one of the node; the time of
    /// the start since the Unix epoch, in milliseconds, is suitable.
    pub fn incarnation(mut self, incarnation: impl Into<IncarnationNumber>) -> Self {
        self.incarnation = incarnation.into();
        self
    }

    /// Sets the address that peers connect to, if it differs from the one listened on.
    pub fn advertised(mut self, address: impl Into<SocketAddr>) -> Self {
        self.advertised = Some(address.into());
        self
    }

    /// Sets the addresses of peers from which the node joins the fleet.
    pub fn seeds(mut self, seeds: impl Into<Vec<SocketAddr>>) -> Self {
        self.seeds = seeds.into();
        self
    }

    /// Sets the clock of the node.
    pub fn clock(mut self, clock: impl Into<NodeClock>) -> Self {
        self.clock = clock.into();
        self
    }

    /// Sets the periods, timeouts and limits of membership.
    pub fn members(mut self, members: impl Into<MemberSettings>) -> Self {
        self.members = members.into();
        self
    }

    /// Sets the maximum number of open connections to peers; the default is 128.
    pub fn max_connections(mut self, count: impl Into<usize>) -> Self {
        self.max_connections = count.into();
        self
    }

    /// Returns the member entry of the node when it listens at `bound`.
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

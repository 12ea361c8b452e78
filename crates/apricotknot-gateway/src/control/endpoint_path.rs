//! Ways from this node to an endpoint.

use std::net::SocketAddr;

use apricotknot_core::types::NodeId;

/// A node that can relay connections.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayPeer {
    /// Name of the node.
    pub node: NodeId,
    /// Address at which it accepts connections of nodes.
    pub address: SocketAddr,
}

/// The way from this node to the endpoints of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointPath {
    /// Connections of this node.
    Direct,
    /// Connections that a peer relays, as this node is cut off.
    Relayed {
        /// Peers to ask, in order.
        peers: Vec<RelayPeer>,
        /// Whether this node also tries to connect itself, to learn whether it is still cut off.
        probes: bool,
    },
}

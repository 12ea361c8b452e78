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

/// The way from this node to one endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointPath {
    /// Connections of this node.
    Direct,
    /// Connections that one of these peers relays, as this node is cut off; they are asked in order.
    Relayed(Vec<RelayPeer>),
}

impl EndpointPath {
    /// Returns whether this node cannot connect itself.
    pub fn is_relayed(&self) -> bool {
        matches!(self, Self::Relayed(_))
    }
}

//! Settings of a gateway node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_core::fleet::RetryPolicy;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::RegionId;

use crate::control::StalenessLimits;

/// Holds all that a gateway node is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Names the node.
    pub node: NodeId,
    /// Data centre that the node runs in.
    pub data_centre: DataCentreId,
    /// Address on which callers connect.
    pub caller_address: SocketAddr,
    /// Address on which the balancer and operators ask how the node is.
    pub operations_address: SocketAddr,
    /// Address on which the node takes news of other nodes.
    pub peer_address: SocketAddr,
    /// Address of the key-value service.
    pub store_address: SocketAddr,
    /// Region of each data centre.
    pub regions: BTreeMap<DataCentreId, RegionId>,
    /// How long what is known serves without being renewed.
    pub staleness: StalenessLimits,
    /// Time that a planned stop may take.
    pub stop_timeout: Duration,
    /// Repeats that all nodes together may send.
    pub retries: RetryPolicy,
}

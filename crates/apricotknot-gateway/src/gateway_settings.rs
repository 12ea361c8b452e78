//! Settings of a gateway node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_core::fleet::RetryPolicy;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::RegionId;

use crate::control::StalenessLimits;
use crate::duties::DutySettings;

/// Holds the settings that a gateway node reads at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the node, unique in the fleet.
    pub node: NodeId,
    /// Data centre that the node runs in.
    pub data_centre: DataCentreId,
    /// Address on which callers connect.
    pub caller_address: SocketAddr,
    /// Address that serves readiness checks of the balancer and metrics.
    pub operations_address: SocketAddr,
    /// Address on which the node receives load snapshots of other nodes, over UDP, and relays
    /// connections for them, over TCP.
    pub peer_address: SocketAddr,
    /// Address of the key-value service.
    pub store_address: SocketAddr,
    /// Region of each data centre.
    pub regions: BTreeMap<DataCentreId, RegionId>,
    /// Ages of the configuration up to which requests are admitted or denied by it.
    pub staleness: StalenessLimits,
    /// Longest interval between two reads of the key-value service.
    pub max_read_interval: Duration,
    /// Longest time for which endpoints keep memory that no request uses.
    pub reserved_idle_time: Duration,
    /// Longest duration of a planned stop.
    pub stop_timeout: Duration,
    /// Memory of the machine, in bytes, of which callers' requests may hold a part.
    pub memory_bytes: usize,
    /// Most descriptors that the node may have open.
    pub max_descriptors: usize,
    /// Limit of the retries that all nodes together send.
    pub retries: RetryPolicy,
    /// Duties that one node at a time performs for the fleet, if there are any.
    pub duties: Option<DutySettings>,
}

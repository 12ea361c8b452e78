//! One endpoint, as it announces itself.

use std::net::SocketAddr;

use crate::types::DataCentreId;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::ServiceId;

/// Says whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EndpointPhase {
    /// It takes new work.
    Ready,
    /// It is about to leave, and takes no new work.
    Leaving,
}

/// Describes one life of one endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointEntry {
    /// Identifies the endpoint.
    pub id: EndpointId,
    /// Tells apart the lives of an endpoint that starts again under its id.
    pub incarnation: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: EndpointPhase,
    /// Moment until which it is cold.
    pub cold_until: MonotonicTime,
}

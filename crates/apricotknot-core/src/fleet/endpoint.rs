//! Registration data of one endpoint.

use std::net::SocketAddr;

use crate::types::DataCentreId;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::ServiceId;

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EndpointPhase {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint is shutting down and accepts no new requests.
    Leaving,
}

/// Describes one incarnation of an endpoint, as the endpoint registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointEntry {
    /// Identifies the endpoint.
    pub id: EndpointId,
    /// Changes each time the endpoint restarts under the same id.
    pub incarnation: u64,
    /// Service whose requests the endpoint runs.
    pub service: ServiceId,
    /// Address to which its requests are sent.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: EndpointPhase,
    /// Time until which it is cold and its request rate is limited.
    pub cold_until: MonotonicTime,
}

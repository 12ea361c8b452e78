//! Endpoints: the engine and service processes that run requests.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::DutyState;
use crate::types::DataCentreId;
use crate::types::ServiceId;
use crate::types::TokenCount;

/// Configures an endpoint: one process of an engine or of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Service that the endpoint serves.
    pub service: ServiceId,
    /// Data centre in which the endpoint runs.
    pub data_centre: DataCentreId,
    /// Address of the HTTP interface of the endpoint.
    pub address: SocketAddr,
    /// Size of the key-value cache of the engine, in tokens; ignored for plain services.
    #[serde(default)]
    pub memory_tokens: TokenCount,
    /// Maximum number of requests that the endpoint runs concurrently.
    #[serde(default = "default_concurrency")]
    pub max_concurrent: u32,
    /// Size of the key-value cache that may be in use while the engine is cold, in tokens.
    #[serde(default)]
    pub cold_memory_tokens: TokenCount,
    /// Maximum number of requests that the endpoint runs concurrently while it is cold.
    #[serde(default = "default_cold_concurrency")]
    pub cold_concurrent: u32,
    /// Whether the endpoint receives new requests; its data centre must be in duty too.
    #[serde(default)]
    pub duty: DutyState,
}

fn default_concurrency() -> u32 {
    64
}

fn default_cold_concurrency() -> u32 {
    2
}

//! What a node tells others of its part in relaying connections to endpoints.

use serde::Deserialize;
use serde::Serialize;

use crate::types::ServiceId;

/// States whether a node can relay connections for others.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayStatus {
    /// Number of connections that it relays.
    pub open: u32,
    /// Services whose endpoints it cannot reach itself.
    pub cut_services: Vec<ServiceId>,
}

//! One version of the configuration of routed requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::KeyPolicy;
use super::PriorityTable;
use super::RouteTable;
use crate::fleet::EngineModel;
use crate::scaling::ScalingLimits;
use crate::types::AccountId;
use crate::types::RegionId;
use crate::types::ServiceId;

/// Limits the size of a caller's input and the time to send it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InputLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time in which a caller must send a head.
    pub header_timeout: Duration,
    /// Maximum time for which a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for InputLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1_024,
            body_bytes: 4 * 1_024 * 1_024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Describes the properties that all endpoints of one service share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceProfile {
    /// Time for which an endpoint is cold after its start.
    pub cold_time: Duration,
    /// Maximum requests per second to a cold endpoint from all nodes; unlimited if zero.
    pub cold_rate: f64,
    /// Performance model of the endpoints; `None` if they are not model engines.
    pub engine: Option<EngineModel>,
    /// Limits of the number of endpoints; `None` if the gateway does not order them.
    pub scaling: Option<ScalingLimits>,
}

/// Holds one version of the configuration, as operators wrote it.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    /// Orders the versions; a larger number is newer.
    pub version: u64,
    /// Record that the version was read from, as operators wrote it.
    pub source: Arc<[u8]>,
    /// Routes by host and path prefix.
    pub routes: RouteTable,
    /// Profiles of the services that the routes lead to.
    pub services: BTreeMap<ServiceId, ServiceProfile>,
    /// Whether requests need an API key, and the keys of the client accounts.
    pub keys: KeyPolicy,
    /// Regions whose endpoints may run the requests of an account; all regions for an account that
    /// is absent.
    pub account_regions: BTreeMap<AccountId, Vec<RegionId>>,
    /// Priorities of accounts and routes.
    pub priorities: PriorityTable,
    /// Limits on the callers' input.
    pub limits: InputLimits,
}

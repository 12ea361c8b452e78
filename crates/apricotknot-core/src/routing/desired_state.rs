//! All that operators configure for routed requests, as one version.

use std::collections::BTreeMap;
use std::time::Duration;

use super::KeyTable;
use super::RouteTable;
use crate::fleet::EngineModel;
use crate::types::AccountId;
use crate::types::RegionId;
use crate::types::ServiceId;

/// Bounds what a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InputLimits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub header_timeout: Duration,
    /// Longest time that a connection stays open without a request.
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

/// Describes the endpoints of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceProfile {
    /// Time for which an endpoint is cold after its start.
    pub cold_time: Duration,
    /// Requests a second that a cold endpoint bears; no bound where zero.
    pub cold_rate: f64,
    /// How the endpoints spend their time, where they are model engines.
    pub engine: Option<EngineModel>,
}

/// Holds one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    /// Orders the versions; a larger number is newer.
    pub version: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Services.
    pub services: BTreeMap<ServiceId, ServiceProfile>,
    /// Keys of the client accounts.
    pub keys: KeyTable,
    /// Regions whose endpoints may run the requests of an account; any region where absent.
    pub account_regions: BTreeMap<AccountId, Vec<RegionId>>,
    /// Bounds of the callers' input.
    pub limits: InputLimits,
}

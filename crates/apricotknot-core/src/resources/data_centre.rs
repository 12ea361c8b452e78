//! Data centres, and the duty state that they share with endpoints.

use serde::Deserialize;
use serde::Serialize;

use crate::types::RegionId;

/// States whether a data centre or an endpoint receives new requests.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum DutyState {
    /// In duty: new requests are sent.
    #[default]
    In,
    /// Drained: requests in progress finish, and no new requests are sent.
    Out,
}

/// Configures a data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DataCentreSpec {
    /// Region of the data centre; may be empty.
    pub region: RegionId,
    /// Whether the endpoints of the data centre receive new requests.
    pub duty: DutyState,
}

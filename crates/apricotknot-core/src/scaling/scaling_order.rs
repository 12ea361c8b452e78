//! Order for a number of endpoints.

use crate::types::DataCentreId;
use crate::types::ServiceId;

/// Orders the number of endpoints of one service in one data centre.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ScalingOrder {
    /// Service whose endpoints are ordered.
    pub service: ServiceId,
    /// Data centre in which they run.
    pub data_centre: DataCentreId,
    /// Number of endpoints that are wanted.
    pub desired: u32,
}

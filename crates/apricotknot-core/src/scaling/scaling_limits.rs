//! Limits within which a service is scaled.

use std::time::Duration;

/// Limits the number of a service's endpoints, as operators configure them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScalingLimits {
    /// Least number of endpoints in each data centre.
    pub min: u32,
    /// Largest number of endpoints in each data centre.
    pub max: u32,
    /// Time from an order until a new endpoint serves.
    pub boot_time: Duration,
}

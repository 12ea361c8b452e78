//! Number of endpoints that a service needs in each data centre.

mod scaling_limits;
mod scaling_order;

pub use scaling_limits::ScalingLimits;
pub use scaling_order::ScalingOrder;

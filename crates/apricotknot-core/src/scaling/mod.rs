//! Number of endpoints that a service needs in each data centre.
//!
//! [`ServiceScaler`] decides from samples of the fleet; it keeps no state that its successor on another
//! node would miss.

mod centre_count;
mod centre_spread;
mod endpoint_target;
mod load_sample;
mod load_window;
mod lost_endpoints;
mod order_book;
mod scaling_limits;
mod scaling_order;
mod service_sample;
mod service_scaler;

pub use centre_count::CentreCount;
pub use load_sample::LoadSample;
pub use scaling_limits::ScalingLimits;
pub use scaling_order::ScalingOrder;
pub use service_sample::EndpointSample;
pub use service_sample::EndpointStatus;
pub use service_sample::ServiceSample;
pub use service_scaler::ScalingStatus;
pub use service_scaler::ServiceScaler;

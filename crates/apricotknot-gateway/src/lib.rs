//! The gateway of apricotknot: routes opaque requests to services by host and path.
//!
//! A node accepts requests of callers, decides which endpoint runs each one ([`control`]), and
//! forwards the answers ([`driver`]). The traits of [`protocol`] and [`store`] hide the differences
//! between platforms. [`GatewayNode`] is the entry point.

pub mod caller;
pub mod clock;
pub mod control;
pub mod driver;
pub mod duties;
pub mod endpoint;
pub mod intake;
pub mod peers;
pub mod protocol;
pub mod relay;
pub mod store;

mod gateway_node;
mod gateway_settings;
mod metrics;
mod operations;

pub use gateway_node::GatewayNode;
pub use gateway_settings::GatewaySettings;
pub use metrics::CallLabels;
pub use metrics::GatewayMetrics;
pub use metrics::PlacementLabels;

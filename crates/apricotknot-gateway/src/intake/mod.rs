//! Memory and connections that the clients of one interface may occupy.
//!
//! The decisions are those of [`apricotknot_core::intake`]; this module shares them between the
//! connections of an interface, tells those that have to give way, and reports them.

mod connection_shares;
mod intake_connection;
mod intake_control;
mod intake_metrics;

pub use connection_shares::ConnectionShares;
pub use connection_shares::available_descriptors;
pub use intake_connection::IntakeConnection;
pub use intake_control::IntakeControl;
pub use intake_metrics::IntakeMetrics;

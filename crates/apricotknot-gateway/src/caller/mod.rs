//! HTTP connections of callers.

mod connection;
mod connection_error;
mod hop_headers;
mod incoming;

pub use connection::CallerConnection;
pub use connection_error::ConnectionError;
pub use hop_headers::remove_hop_by_hop_headers;
pub use incoming::IncomingRequest;

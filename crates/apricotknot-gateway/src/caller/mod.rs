//! Connections of callers.

mod connection;
mod connection_error;
mod incoming;
mod intake;

pub use connection::CallerConnection;
pub use connection_error::ConnectionError;
pub use incoming::IncomingRequest;
pub use intake::hop_free;

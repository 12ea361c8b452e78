//! HTTP connections of callers.

mod answer_writing;
mod body_progress;
mod caller_codec;
mod connection;
mod connection_error;
mod hop_headers;
mod incoming;
mod message_size;

pub use body_progress::BodyProgress;
pub use connection::CallerConnection;
pub use connection_error::ConnectionError;
pub use hop_headers::remove_hop_by_hop_headers;
pub use incoming::IncomingRequest;
pub(crate) use message_size::declared_length;

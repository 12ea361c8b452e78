//! HTTP connections to endpoints and to the key-value service.

mod client;
mod connector;

pub use client::ATTEMPT_HEADER;
pub use client::CONNECT_TIMEOUT;
pub use client::EXECUTED_HEADER;
pub use client::endpoint_client;
pub use client::may_have_been_sent;
pub use connector::NoDelayConnector;

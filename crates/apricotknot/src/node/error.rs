//! Errors at the start of a node.

use std::io;
use std::net::SocketAddr;

/// Describes why a node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address} for {purpose}: {source}; choose a free address")]
    Listen {
        /// Address that was given.
        address: SocketAddr,
        /// Interface that should listen on the address.
        purpose: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start the {purpose} thread: {source}")]
    Thread {
        /// Purpose of the thread.
        purpose: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
}

//! Errors of starting a stand-in.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Says why a stand-in did not start.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The address could not be bound.
    #[error("cannot listen on {address}: {source}; choose a free port, or port 0")]
    Listen {
        /// Requested address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The thread could not be started.
    #[error("cannot start the thread of a stand-in: {0}")]
    Thread(io::Error),
}

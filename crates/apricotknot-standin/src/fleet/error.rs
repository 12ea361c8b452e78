//! Errors of a fleet of processes under test.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Says why an operation on a fleet failed.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A program has not been built.
    #[error("{0} does not exist; run 'cargo build --workspace --bins --examples' first")]
    MissingProgram(PathBuf),
    /// A process could not be started.
    #[error("cannot start {program}: {source}")]
    Start {
        /// Name of the process.
        program: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A process did not print the address that it listens on.
    #[error("{0} did not print its address; read its log")]
    NoAddress(String),
    /// A file could not be written or read.
    #[error("cannot use {path}: {source}")]
    File {
        /// Path of the file or directory.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// No free port was found.
    #[error("no free port was found in the range for tests; end processes that hold ports")]
    NoPort,
    /// A node did not become ready in time.
    #[error("{node} did not become ready in time; the end of its log:\n{log}")]
    NotReady {
        /// Name of the node.
        node: String,
        /// End of the node's log.
        log: String,
    },
    /// A request was not answered, or its answer was not the expected one.
    #[error("no answer from {uri}: {reason}")]
    NoAnswer {
        /// URI of the request.
        uri: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The connection of a stream broke before its end.
    #[error("the stream broke off after {chunks} chunks with text: {reason}")]
    StreamBroken {
        /// Number of chunks with text that were received.
        chunks: usize,
        /// Cause of the failure.
        reason: String,
    },
}

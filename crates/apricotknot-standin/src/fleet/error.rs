//! Errors of a fleet of processes.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Says why a fleet did not do what a test asked.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A program has not been built.
    #[error("{0} does not exist; run 'cargo build --workspace --bins --examples' first")]
    MissingProgram(PathBuf),
    /// A process could not be started.
    #[error("cannot start {program}: {source}")]
    Start {
        /// Program that was to run.
        program: String,
        /// What the system answered.
        source: io::Error,
    },
    /// A process did not say where it listens.
    #[error("{0} did not print its address; read its log")]
    NoAddress(String),
    /// A file could not be written or read.
    #[error("cannot use {path}: {source}")]
    File {
        /// File or directory.
        path: PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// No port was free.
    #[error("no free port was found")]
    NoPort,
    /// A node did not become ready in time.
    #[error("{node} was not ready in time; its log ends with:\n{log}")]
    NotReady {
        /// Name of the node.
        node: String,
        /// End of its log.
        log: String,
    },
    /// A request brought no answer.
    #[error("no answer from {uri}: {reason}")]
    NoAnswer {
        /// Address that was asked.
        uri: String,
        /// What went wrong.
        reason: String,
    },
    /// A stream broke off.
    #[error("the stream broke off after {chunks} pieces: {reason}")]
    StreamBroken {
        /// Pieces that had come.
        chunks: usize,
        /// What went wrong.
        reason: String,
    },
}

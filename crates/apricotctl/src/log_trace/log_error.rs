//! Errors of reading logs.

use thiserror::Error;

/// Reports why logs cannot be searched.
#[derive(Debug, Error)]
pub(crate) enum LogError {
    /// A file or directory cannot be read.
    #[error("cannot read {path}: {source}; give log files of nodes, or a directory of them")]
    Unreadable {
        /// Path of the file or directory.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// No line fits.
    #[error(
        "{searched} lines of {files} files name no {kind} {value}; check the spelling, or add --logs"
    )]
    NotFound {
        /// Number of lines that were searched.
        searched: u64,
        /// Number of files that were searched.
        files: usize,
        /// What was searched for.
        kind: &'static str,
        /// Its id, name or number.
        value: String,
    },
}

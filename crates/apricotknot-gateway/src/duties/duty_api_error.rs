//! Errors of calls of duties.

use std::time::Duration;

use apricotknot_core::types::FencingNumber;
use thiserror::Error;

/// Reports why a call of a duty failed.
#[derive(Clone, Debug, Error)]
pub enum DutyApiError {
    /// The connection could not be established, or broke.
    #[error(
        "lost the connection to the duty API at {address}: {reason}; the call may be carried out"
    )]
    Broken {
        /// Address that was called.
        address: String,
        /// What the connection reported.
        reason: String,
    },
    /// This node may no longer act under the fencing number; nothing was sent.
    #[error("the term with fencing number {fence} is over; nothing was sent")]
    TermOver {
        /// Fencing number of the call.
        fence: FencingNumber,
    },
    /// The API answered with an unexpected status.
    #[error("the duty API at {address} answered with status {status}: {reason}")]
    Rejected {
        /// Address that was called.
        address: String,
        /// HTTP status.
        status: u16,
        /// Start of the answer's body.
        reason: String,
    },
    /// No answer arrived in time.
    #[error("no answer of the duty API within {limit:?}; the call may be carried out later")]
    TimedOut {
        /// Time that was waited.
        limit: Duration,
    },
}

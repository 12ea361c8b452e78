//! Why news of another node is not taken in.

use thiserror::Error;

/// Reports why a datagram is not taken in, or cannot be sent.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum DatagramError {
    /// The datagram is shorter than its signature.
    #[error("a datagram of {0} bytes is too short to be signed")]
    TooShort(usize),
    /// The signature is not that of a node of this system.
    #[error("the signature is wrong")]
    InvalidSignature,
    /// The content cannot be read.
    #[error("the content cannot be read")]
    Malformed,
}

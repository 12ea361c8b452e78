//! Errors of encoding and decoding datagrams.

use thiserror::Error;

/// Reports why a datagram is rejected, or cannot be encoded.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum DatagramError {
    /// The datagram, of this many bytes, is shorter than a signature.
    #[error("datagram of {0} bytes is too short to hold a signature")]
    TooShort(usize),
    /// The signature was not made with the secret of this fleet.
    #[error("signature does not match the peer secret")]
    InvalidSignature,
    /// The content cannot be encoded or decoded.
    #[error("content cannot be encoded or decoded")]
    Malformed,
}

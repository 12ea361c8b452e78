//! Why no request could be read from a caller's connection.

use thiserror::Error;

/// Reports why a caller's connection yields no request.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ConnectionError {
    /// The caller closed the connection, or it broke.
    #[error("the caller closed the connection")]
    Closed,
    /// No request began in time.
    #[error("no request began within the idle time")]
    IdleTimeout,
    /// The head did not come in time.
    #[error("the head of the request did not come in time")]
    HeadTimeout,
    /// The body did not come in time.
    #[error("the body of the request did not come in time")]
    BodyTimeout,
    /// The head is larger than allowed.
    #[error("the head of the request is larger than allowed")]
    HeadTooLarge,
    /// The body is larger than allowed.
    #[error("the body of the request is larger than allowed")]
    BodyTooLarge,
    /// The bytes are no request.
    #[error("the bytes do not follow the protocol")]
    Malformed,
}

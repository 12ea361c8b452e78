//! Errors of reading a request from a caller's connection.

use thiserror::Error;

/// Reports why no request could be read, or no answer written.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ConnectionError {
    /// The caller closed the connection, or it broke.
    #[error("the caller closed the connection")]
    Closed,
    /// No byte of a request arrived within the idle timeout.
    #[error("no request arrived within the idle timeout")]
    IdleTimeout,
    /// The head of the request did not arrive completely in time.
    #[error("the head of the request did not arrive in time")]
    HeadTimeout,
    /// A part of the body did not arrive in time.
    #[error("the body of the request did not arrive in time")]
    BodyTimeout,
    /// The head of the request is larger than allowed.
    #[error("the head of the request is larger than allowed")]
    HeadTooLarge,
    /// The body of the request is larger than allowed.
    #[error("the body of the request is larger than allowed")]
    BodyTooLarge,
    /// There is no memory for the body of the request.
    #[error("the node has no memory for the body of the request")]
    NoMemory,
    /// The connection has to give way to others, and has sent no whole head.
    #[error("the connection gives way to others")]
    GaveWay,
    /// The bytes are not a request of HTTP/1.1.
    #[error("the input is not an HTTP request")]
    Malformed,
}

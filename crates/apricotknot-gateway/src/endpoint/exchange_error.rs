//! Errors of an exchange with an endpoint.

use std::io;
use std::time::Duration;

use actix_http::error::ParseError;
use thiserror::Error;

use super::AnswerBudgetError;
use crate::relay::RelayError;

/// Reports why an exchange with an endpoint failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection could be established, so nothing was sent.
    #[error("cannot connect: {0}; nothing was sent")]
    Unreachable(io::Error),
    /// No connection was established in time, so nothing was sent.
    #[error("no connection within {0:?}; nothing was sent")]
    ConnectTimeout(Duration),
    /// No connection was made through another node, so nothing was sent.
    #[error("no connection through a peer: {0}; nothing was sent")]
    Relay(#[from] RelayError),
    /// The request could not be encoded, so nothing was sent.
    #[error("cannot encode the request: {0}; nothing was sent")]
    Encoding(io::Error),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(io::Error),
    /// The endpoint ended an answer without a length, but its side did not take the whole request.
    #[error(
        "the answer ended before its endpoint took the request: the connection failed with up to \
         {outstanding_bytes} bytes not acknowledged: {error}"
    )]
    RequestNotTaken {
        /// Most bytes of the request that were not acknowledged.
        outstanding_bytes: u64,
        /// Error of the connection.
        error: io::Error,
    },
    /// The endpoint ended an answer without a length, and nobody knows whether it took the request.
    #[error(
        "the answer ended at a peer of an earlier build, which knows nothing of the request's end"
    )]
    UnconfirmedEnd,
    /// The connection ended before the answer was complete.
    #[error("the connection ended before the answer was whole")]
    Truncated,
    /// The endpoint sent bytes that are not an HTTP answer.
    #[error("the answer does not follow the protocol: {0}")]
    Malformed(ParseError),
    /// The heads of the answer are too large; informational ones count.
    #[error("the heads of the answer exceed {limit} bytes")]
    HeadTooLarge {
        /// Most bytes of the heads of one answer.
        limit: usize,
    },
    /// The node has no memory for more of the answer.
    #[error(transparent)]
    OutOfMemory(#[from] AnswerBudgetError),
    /// The body of the answer does not follow the protocol, or is too large.
    #[error("the body of the answer does not follow the protocol")]
    MalformedBody,
}

impl ExchangeError {
    /// Returns whether no byte of the request has left the node.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Unreachable(_) | Self::ConnectTimeout(_) | Self::Relay(_) | Self::Encoding(_)
        )
    }
}

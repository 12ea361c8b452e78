//! Rest of a request whose endpoint has answered before it read all of it.
//!
//! An endpoint may answer an upload at once and read on. Its caller is told that the upload is accepted,
//! so the endpoint gets all of it, beside what the caller does next.

use std::time::Duration;

use thiserror::Error;

use super::EndpointExchange;
use super::ExchangeError;

/// Holds an exchange whose answer is complete, and whose request is not.
pub struct RequestRest {
    exchange: EndpointExchange,
    time_left: Duration,
}

/// Reports why the rest of a request was not sent.
#[derive(Debug, Error)]
pub enum RequestRestError {
    /// The time for the request is over.
    #[error("the deadline of the request has passed")]
    Deadline,
    /// The node is about to end.
    #[error("the node ends")]
    NodeEnds,
    /// The connection took no more.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
}

impl RequestRest {
    /// Returns the rest of the request of `exchange`, or `None` if all of it is sent.
    ///
    /// It is sent within `time_left`.
    pub fn of(exchange: EndpointExchange, time_left: Duration) -> Option<Self> {
        (exchange.unsent_bytes() > 0).then_some(Self { exchange, time_left })
    }

    /// Returns the bytes that are not sent.
    pub fn unsent_bytes(&self) -> usize {
        self.exchange.unsent_bytes()
    }

    /// Sends the rest, until the time is over or `node_ends` completes.
    ///
    /// # Errors
    ///
    /// Returns why a part was not sent.
    pub async fn send(
        &mut self,
        node_ends: impl Future<Output = ()>,
    ) -> Result<(), RequestRestError> {
        tokio::select! {
            sent = self.exchange.finish_request() => Ok(sent?),
            () = tokio::time::sleep(self.time_left) => Err(RequestRestError::Deadline),
            () = node_ends => Err(RequestRestError::NodeEnds),
        }
    }
}

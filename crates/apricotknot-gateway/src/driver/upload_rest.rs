//! Sends the rest of a request whose endpoint has answered before it read all of it.
//!
//! An endpoint may answer an upload at once and read on. Its caller is told that the upload is accepted,
//! so the endpoint gets all of it; the caller, its connection and its next request do not wait for that.

use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use super::attempt::OpenAttempt;
use super::call_driver::CallDriver;
use super::open_call::OpenCall;
use crate::endpoint::EndpointExchange;
use crate::endpoint::ExchangeError;
use crate::intake::IntakeConnection;
use crate::protocol::CallProtocol;

/// Holds what the rest of a request needs until its endpoint has it.
struct UploadRest {
    exchange: EndpointExchange,
    /// Time until the deadline of the call.
    time_left: Duration,
    /// Whether the node is about to end.
    ending: watch::Receiver<bool>,
    logger: Logger,
    /// Memory of the request's body.
    _room: IntakeConnection,
    /// A stopping node waits for the request.
    _open_call: OpenCall,
}

/// Reports why the rest of a request was not sent.
#[derive(Debug, thiserror::Error)]
enum UploadRestError {
    #[error("the deadline of the call has passed")]
    Deadline,
    #[error("the node ends")]
    NodeEnds,
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
}

impl<P: CallProtocol> CallDriver<'_, P> {
    /// Ends an attempt that was answered with success, and sends the rest of its request, if there is
    /// one, beside the caller's further requests.
    pub(super) fn finish_attempt_request(&self, open: OpenAttempt) {
        let OpenAttempt { exchange, endpoint, .. } = open;
        let unsent_bytes = exchange.unsent_bytes();
        if unsent_bytes == 0 {
            return;
        }
        let logger = self.context.logger.new(slog::o!(
            "request" => self.call.metadata.request_id.to_string(),
            "endpoint" => endpoint.to_string(), "unsent" => unsent_bytes
        ));
        let rest = UploadRest {
            exchange,
            time_left: self.call.deadline.saturating_sub(self.now()),
            ending: self.ending.clone(),
            logger,
            _room: self.connection.split_off_request(),
            _open_call: OpenCall::begin(&self.context.metrics),
        };
        actix_rt::spawn(rest.run());
    }
}

impl UploadRest {
    async fn run(mut self) {
        info!(self.logger, "call: answered before the endpoint read the request; sending the rest");
        match self.send().await {
            Ok(()) => info!(self.logger, "call: rest of the request sent"),
            Err(error) => warn!(
                self.logger, "call: rest of the request not sent";
                "cause" => %error, "left" => self.exchange.unsent_bytes()
            ),
        }
    }

    /// Sends the rest until the deadline of the call, or the end of the node.
    async fn send(&mut self) -> Result<(), UploadRestError> {
        tokio::select! {
            sent = self.exchange.finish_request() => Ok(sent?),
            () = tokio::time::sleep(self.time_left) => Err(UploadRestError::Deadline),
            _ = self.ending.wait_for(|is_ending| *is_ending) => Err(UploadRestError::NodeEnds),
        }
    }
}

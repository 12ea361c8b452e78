//! Sends the rest of an upload after the answer of its call.

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use super::attempt::OpenAttempt;
use super::call_driver::CallDriver;
use super::open_call::OpenCall;
use crate::endpoint::RequestRest;
use crate::intake::IntakeConnection;
use crate::protocol::CallProtocol;

/// Holds what the rest of an upload needs until its endpoint has it.
struct UploadRest {
    rest: RequestRest,
    /// Whether the node is about to end.
    ending: watch::Receiver<bool>,
    logger: Logger,
    /// Memory of the request's body.
    _room: IntakeConnection,
    /// A stopping node waits for the upload.
    _open_call: OpenCall,
}

impl<P: CallProtocol> CallDriver<'_, P> {
    /// Ends an attempt that was answered with success, and sends the rest of its request, if there is
    /// one, beside the caller's further requests.
    pub(super) fn finish_attempt_request(&self, open: OpenAttempt) {
        let time_left = self.call.deadline.saturating_sub(self.now());
        let Some(rest) = RequestRest::of(open.exchange, time_left) else {
            return;
        };
        let logger = self.context.logger.new(slog::o!(
            "request" => self.call.metadata.request_id.to_string(),
            "endpoint" => open.endpoint.to_string(), "unsent" => rest.unsent_bytes()
        ));
        let rest = UploadRest {
            rest,
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
        let node_ends = async {
            let _ = self.ending.wait_for(|is_ending| *is_ending).await;
        };
        match self.rest.send(node_ends).await {
            Ok(()) => info!(self.logger, "call: rest of the request sent"),
            Err(error) => warn!(
                self.logger, "call: rest of the request not sent";
                "cause" => %error, "left" => self.rest.unsent_bytes()
            ),
        }
    }
}

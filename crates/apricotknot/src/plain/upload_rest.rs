//! Sends the rest of an upload after the answer of its call.

use apricotknot_gateway::endpoint::AnswerMemory;
use apricotknot_gateway::endpoint::RequestRest;
use slog::Discard;
use slog::Logger;
use slog::info;
use slog::o;
use slog::warn;

use crate::front::NodePhase;
use crate::front::SharedContext;

/// Holds what the rest of an upload needs until its service has it.
pub(super) struct UploadRest {
    rest: RequestRest,
    body_length: usize,
    /// Memory of the body, which the account of the caller's connection counts no more.
    memory: AnswerMemory,
    node: Option<SharedContext>,
}

impl UploadRest {
    /// Creates the rest of an upload whose body has `body_length` bytes.
    pub(super) fn new(
        rest: RequestRest,
        body_length: usize,
        memory: AnswerMemory,
        node: Option<SharedContext>,
    ) -> Self {
        Self { rest, body_length, memory, node }
    }

    /// Sends the rest in a task of its own, if there is memory to hold the body; a stopping node waits
    /// for it.
    pub(super) fn start(mut self) {
        if let Err(error) = self.memory.set_held(self.body_length) {
            warn!(
                self.logger(), "plain: rest of the request not sent";
                "cause" => %error, "left" => self.rest.unsent_bytes()
            );
            return;
        }
        if let Some(node) = &self.node {
            node.metrics.open_requests.inc();
        }
        actix_rt::spawn(self.run());
    }

    async fn run(mut self) {
        let logger = self.logger();
        let node = self.node.clone();
        let sent = self.rest.send(node_ends(node.as_ref())).await;
        match sent {
            Ok(()) => info!(logger, "plain: rest of the request sent after the answer"),
            Err(error) => warn!(
                logger, "plain: rest of the request not sent";
                "cause" => %error, "left" => self.rest.unsent_bytes()
            ),
        }
        if let Some(node) = node {
            node.metrics.open_requests.dec();
        }
    }

    fn logger(&self) -> Logger {
        let logger = self.node.as_ref().map(|node| node.logger.clone());
        logger.unwrap_or_else(|| Logger::root(Discard, o!()))
    }
}

/// Waits until the node is about to end; without end if there is none.
async fn node_ends(node: Option<&SharedContext>) {
    let Some(node) = node else {
        return std::future::pending().await;
    };
    let mut phase = node.phase.clone();
    let _ = phase.wait_for(|phase| *phase == NodePhase::Stopping).await;
}

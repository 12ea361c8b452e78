//! Forwards calls of peers to the loop of the control thread.

use std::rc::Rc;

use apricotknot_core::admission::ShareMessage;
use apricotknot_core::membership::ClusterAction;
use apricotknot_wire::message::GrantReply;
use apricotknot_wire::message::GrantRequest;
use apricotknot_wire::message::OwnerHint;
use apricotknot_wire::message::PoolReport;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::input::PeerInput;
use crate::peers::PeerHandler;
use crate::peers::PeerIdentity;

/// Forwards calls and actions as inputs to the loop, which alone changes the control state.
pub(super) struct InputHandler {
    inputs: mpsc::UnboundedSender<PeerInput>,
}

impl InputHandler {
    /// Creates a handler that forwards to `inputs`.
    pub(super) fn new(inputs: mpsc::UnboundedSender<PeerInput>) -> Self {
        Self { inputs }
    }
}

impl PeerHandler for InputHandler {
    fn handle_action(&self, action: ClusterAction) {
        let _ = self.inputs.send(PeerInput::Cluster(action));
    }

    async fn request_grant(
        self: Rc<Self>,
        _peer: PeerIdentity,
        request: GrantRequest,
    ) -> GrantReply {
        let (reply, answer) = oneshot::channel();
        let _ = self.inputs.send(PeerInput::GrantRequested { request: Box::new(request), reply });
        let unknown = OwnerHint { owner: "".into(), epoch: 0 };
        answer.await.unwrap_or(GrantReply::NotOwner(unknown))
    }

    fn handle_reports(&self, _peer: &PeerIdentity, reports: Vec<PoolReport>) {
        let _ = self.inputs.send(PeerInput::Reports(reports));
    }

    fn handle_shares(&self, peer: &PeerIdentity, messages: Vec<ShareMessage>) {
        let from = peer.node.clone();
        let _ = self.inputs.send(PeerInput::ShareMessages { from, messages });
    }
}

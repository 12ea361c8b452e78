//! Interface through which the service passes actions and calls of peers to the node.

use std::rc::Rc;

use apricotknot_core::admission::ShareMessage;
use apricotknot_core::membership::ClusterAction;
use apricotknot_wire::auth::PeerIdentity;
use apricotknot_wire::message::GrantReply;
use apricotknot_wire::message::GrantRequest;
use apricotknot_wire::message::PoolReport;

/// Answers peers' calls about grants, and executes actions of the cluster state.
pub trait PeerHandler: 'static {
    /// Executes an action of the cluster state; the service itself executes probes and pulls.
    fn handle_action(&self, action: ClusterAction);

    /// Decides on a request for a grant; the future is dropped if the peer stops waiting.
    fn request_grant(
        self: Rc<Self>,
        peer: PeerIdentity,
        request: GrantRequest,
    ) -> impl Future<Output = GrantReply> + 'static;

    /// Handles a peer's reports about grants that this node made.
    fn handle_reports(&self, peer: &PeerIdentity, reports: Vec<PoolReport>);

    /// Handles a peer's messages about budget shares.
    fn handle_shares(&self, peer: &PeerIdentity, messages: Vec<ShareMessage>);
}

//! What a node does for its peers.

use std::rc::Rc;

use apricotknot_core::admission::ShareMessage;
use apricotknot_core::membership::ClusterAction;
use apricotknot_wire::auth::PeerIdentity;
use apricotknot_wire::message::GrantReply;
use apricotknot_wire::message::GrantRequest;
use apricotknot_wire::message::PoolReport;

/// Answers peers' calls about grants, and performs what the cluster state asks for.
pub trait PeerHandler: 'static {
    /// Performs an action: all but probes and pulls come here.
    fn handle_action(&self, action: ClusterAction);

    /// Decides on a request for a grant; the peer may stop waiting, which drops the future.
    fn request_grant(
        self: Rc<Self>,
        peer: PeerIdentity,
        request: GrantRequest,
    ) -> impl Future<Output = GrantReply> + 'static;

    /// Takes reports about grants that this node made.
    fn handle_reports(&self, peer: &PeerIdentity, reports: Vec<PoolReport>);

    /// Takes messages about budget shares.
    fn handle_shares(&self, peer: &PeerIdentity, messages: Vec<ShareMessage>);
}

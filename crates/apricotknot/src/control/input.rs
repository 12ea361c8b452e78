//! Inputs of the control thread from peers, the cluster state and the key-value service.

use apricotknot_core::admission::ShareMessage;
use apricotknot_core::membership::ClusterAction;
use apricotknot_core::quarantine::QuarantineRecord;
use apricotknot_core::types::IncarnationNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_wire::message::GrantReply;
use apricotknot_wire::message::GrantRequest;
use apricotknot_wire::message::PoolReport;
use tokio::sync::oneshot;

use crate::peers::PeerError;

/// Carries one event from outside the node to the control thread.
#[derive(Debug)]
pub(super) enum PeerInput {
    /// The cluster state requests an action or reports a change.
    Cluster(ClusterAction),
    /// A peer requests a grant from a pool that, as far as it knows, this node owns.
    GrantRequested {
        /// Request of the peer.
        request: Box<GrantRequest>,
        /// Receives the reply to the peer.
        reply: oneshot::Sender<GrantReply>,
    },
    /// The call for a grant from another node's pool has completed or failed.
    GrantAnswered {
        /// Node that the call went to.
        owner: NodeId,
        /// Request that was sent.
        request: Box<GrantRequest>,
        /// Reply of the owner, or why the call failed.
        result: Result<GrantReply, PeerError>,
    },
    /// A peer sent reports about attempts that this node granted.
    Reports(Vec<PoolReport>),
    /// A call that sent reports to a pool's owner has ended.
    ReportsSent {
        /// Node that the reports were sent to.
        owner: NodeId,
        /// Reports to send again; empty if the owner confirmed all of them.
        unconfirmed: Vec<PoolReport>,
    },
    /// No process listened at the address of a member that left.
    MemberStopped {
        /// Member that left.
        node: NodeId,
        /// Larger than every incarnation that the member has had so far.
        incarnation: IncarnationNumber,
        /// Moment on the node's clock at which the observation began.
        seen_at: MonotonicTime,
    },
    /// The key-value service holds these records of requests that crash endpoints.
    SuspectsRead(Vec<QuarantineRecord>),
    /// A peer sent messages about budget shares.
    ShareMessages {
        /// Peer that sent the messages.
        from: NodeId,
        /// Messages, in the order in which the peer sent them.
        messages: Vec<ShareMessage>,
    },
}

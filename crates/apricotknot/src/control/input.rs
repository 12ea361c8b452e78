//! What peers and the cluster state tell the control thread.

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

/// Tells the control thread what came from outside the node.
#[derive(Debug)]
pub(super) enum PeerInput {
    /// The cluster state wants something done, or tells what changed.
    Cluster(ClusterAction),
    /// A peer asks for a grant from a pool that it believes this node to own.
    GrantRequested {
        /// What it asks.
        request: Box<GrantRequest>,
        /// Where the answer goes.
        reply: oneshot::Sender<GrantReply>,
    },
    /// A pool's owner answered this node's question, or could not be asked.
    GrantAnswered {
        /// Node that was asked.
        owner: NodeId,
        /// What was asked.
        request: Box<GrantRequest>,
        /// What it answered.
        result: Result<GrantReply, PeerError>,
    },
    /// A peer reports about attempts that this node granted.
    Reports(Vec<PoolReport>),
    /// Reports could not be confirmed by their receiver.
    ReportsSent {
        /// Node that should have them.
        owner: NodeId,
        /// The reports.
        unconfirmed: Vec<PoolReport>,
    },
    /// No process listened at a former member's address.
    MemberStopped {
        /// Former member.
        node: NodeId,
        /// Larger than the incarnation of each of its lives so far.
        incarnation: IncarnationNumber,
        /// Moment at which the observation began.
        seen_at: MonotonicTime,
    },
    /// The key-value service holds these records of requests that crash endpoints.
    SuspectsRead(Vec<QuarantineRecord>),
    /// A peer tells something about budget shares.
    ShareMessages {
        /// Peer.
        from: NodeId,
        /// What it tells.
        messages: Vec<ShareMessage>,
    },
}

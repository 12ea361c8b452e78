//! Actions that the member table requests.

use std::time::Duration;

use crate::membership::MemberState;
use crate::membership::MemberUpdate;
use crate::membership::PeerAddress;
use crate::membership::ProbeMessage;
use crate::types::IncarnationNumber;
use crate::types::NodeId;

/// Identifies the receiver of a call.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PeerTarget {
    /// Name of the node; empty when only its address is known.
    pub node: NodeId,
    /// Address on which the node listens for peers.
    pub address: PeerAddress,
}

/// Requests an operation from the cluster state, or reports a change to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// Send a probe message; each response goes to [`receive`](super::MemberTable::receive).
    Send {
        /// Peer that receives the message.
        to: PeerTarget,
        /// Message to send.
        message: Box<ProbeMessage>,
    },
    /// Pull the whole member table of a peer.
    PullMembers {
        /// Peer to pull from.
        from: PeerTarget,
    },
    /// An update about a member superseded what this node knew.
    Changed {
        /// Latest update about the member.
        update: MemberUpdate,
        /// State before the update; none for a member that was unknown.
        previous: Option<MemberState>,
    },
    /// The node resumed after a pause in which it did not run, and may no longer own its pools.
    Resumed {
        /// Time between the last two ticks.
        paused: Duration,
    },
    /// Other members considered this node suspect or left, and it refuted that.
    Refuted {
        /// State that the others assumed.
        state: MemberState,
        /// Incarnation of the refutation.
        incarnation: IncarnationNumber,
    },
    /// A peer has acknowledged this node since it started or resumed, or there is no peer.
    Confirmed,
}

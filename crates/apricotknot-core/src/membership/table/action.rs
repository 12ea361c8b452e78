//! What the member table wants done.

use std::time::Duration;

use crate::membership::MemberState;
use crate::membership::MemberUpdate;
use crate::membership::PeerAddress;
use crate::membership::ProbeMessage;
use crate::types::IncarnationNumber;
use crate::types::NodeId;

/// Names the receiver of a call.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PeerTarget {
    /// Node; empty when only its address is known.
    pub node: NodeId,
    /// Address on which it listens for peers.
    pub address: PeerAddress,
}

/// Asks for something to be done, or tells what changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// Send a probe message; what answers it goes to [`receive`](super::MemberTable::receive).
    Send {
        /// Receiver.
        to: PeerTarget,
        /// Message.
        message: Box<ProbeMessage>,
    },
    /// Pull the whole member table.
    PullMembers {
        /// Node to pull from.
        from: PeerTarget,
    },
    /// What is known of a member changed.
    Changed {
        /// What is known now.
        update: MemberUpdate,
        /// State before; none for a member that was not known.
        previous: Option<MemberState>,
    },
    /// The node did not run for a while and may no longer own what it owned.
    Resumed {
        /// Time between the last two ticks.
        paused: Duration,
    },
    /// Others believed that this node was not there; it has told them otherwise.
    Refuted {
        /// What they believed.
        state: MemberState,
        /// Incarnation with which it refuted.
        incarnation: IncarnationNumber,
    },
    /// A peer has acknowledged this node since it started or woke, or there is no peer.
    Confirmed,
}

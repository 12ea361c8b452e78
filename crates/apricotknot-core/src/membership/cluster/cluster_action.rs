//! Actions that the cluster state requests from the node.

use std::time::Duration;

use crate::membership::ConfigurationRecord;
use crate::membership::DrainNotice;
use crate::membership::EpochAction;
use crate::membership::LeaseAction;
use crate::membership::MemberList;
use crate::membership::MemberState;
use crate::membership::MemberUpdate;
use crate::membership::PeerTarget;
use crate::membership::ProbeMessage;
use crate::types::IncarnationNumber;
use crate::types::RevisionNumber;

/// Requests an operation from the node, or reports a change to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClusterAction {
    /// Send a probe message to a peer.
    Probe {
        /// Peer that receives the message.
        to: PeerTarget,
        /// Message to send.
        message: Box<ProbeMessage>,
    },
    /// Pull the member snapshot of a peer.
    PullMembers {
        /// Peer to pull from.
        from: PeerTarget,
    },
    /// Pull configuration from a peer.
    PullConfiguration {
        /// Peer to pull from.
        from: PeerTarget,
        /// Newest revision that this node has; the peer sends the records after it.
        since: RevisionNumber,
    },
    /// Call the key-value service for the member list.
    List(EpochAction),
    /// Call the key-value service for the lease.
    Lease(LeaseAction),
    /// Put records in force, in the given order.
    Apply {
        /// Records that are new on this node.
        records: Vec<ConfigurationRecord>,
        /// Newest revision in force after the records.
        revision: RevisionNumber,
    },
    /// A drain notice came into force.
    Drain {
        /// Notice that replaces any earlier one about the same subject.
        notice: DrainNotice,
    },
    /// The member list of a later epoch is in use.
    ListAdopted {
        /// List that is now in use.
        list: MemberList,
    },
    /// An update about a member superseded what this node knew.
    MemberChanged {
        /// Latest update about the member.
        update: MemberUpdate,
        /// State before the update; none for a member that was unknown.
        previous: Option<MemberState>,
    },
    /// The node resumed after a pause in which it did not run; the pools that it owned may have
    /// another owner now.
    Resumed {
        /// Length of the pause.
        paused: Duration,
    },
    /// Other members considered this node suspect or left, and it refuted that.
    Refuted {
        /// State that the others assumed.
        state: MemberState,
        /// Incarnation of the refutation.
        incarnation: IncarnationNumber,
    },
    /// The node may act as an owner: a peer has acknowledged it, or it has no peer.
    Confirmed,
}

impl From<LeaseAction> for ClusterAction {
    fn from(action: LeaseAction) -> Self {
        Self::Lease(action)
    }
}

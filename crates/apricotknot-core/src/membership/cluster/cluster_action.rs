//! What the cluster state wants done.

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

/// Asks for something to be done, or tells what changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClusterAction {
    /// Send a probe message to a peer.
    Probe {
        /// Receiver.
        to: PeerTarget,
        /// Message.
        message: Box<ProbeMessage>,
    },
    /// Pull the member snapshot of a peer.
    PullMembers {
        /// Peer.
        from: PeerTarget,
    },
    /// Pull configuration from a peer.
    PullConfiguration {
        /// Peer.
        from: PeerTarget,
        /// Revision after which records are wanted.
        since: RevisionNumber,
    },
    /// Call the key-value service for the member list.
    List(EpochAction),
    /// Call the key-value service for the lease.
    Lease(LeaseAction),
    /// Put records in force, in their order.
    Apply {
        /// Records that are new.
        records: Vec<ConfigurationRecord>,
        /// Newest revision in force.
        revision: RevisionNumber,
    },
    /// A drain order came into force.
    Drain {
        /// Order.
        notice: DrainNotice,
    },
    /// The member list of a later epoch is in use.
    ListAdopted {
        /// List.
        list: MemberList,
    },
    /// What is known of a member changed.
    MemberChanged {
        /// What is known now.
        update: MemberUpdate,
        /// State before; none for a member that was not known.
        previous: Option<MemberState>,
    },
    /// The node did not run for a while; what it owned may have another owner now.
    Resumed {
        /// Time that it did not run.
        paused: Duration,
    },
    /// Others believed that this node was not there; it has told them otherwise.
    Refuted {
        /// What they believed.
        state: MemberState,
        /// Incarnation with which it refuted.
        incarnation: IncarnationNumber,
    },
    /// The node may act: a peer has acknowledged it, or there is none.
    Confirmed,
}

impl From<LeaseAction> for ClusterAction {
    fn from(action: LeaseAction) -> Self {
        Self::Lease(action)
    }
}

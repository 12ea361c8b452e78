//! Updates about members, and snapshots of all members.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::DrainNotice;
use crate::membership::MemberList;
use crate::types::DataCentreId;
use crate::types::IncarnationNumber;
use crate::types::NodeId;

/// Address on which a node listens for its peers.
pub type PeerAddress = SocketAddr;

/// State of a member; at one incarnation, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemberState {
    /// The member responds to probes.
    Alive,
    /// The member did not respond to a probe and has not refuted the suspicion yet.
    Suspect,
    /// The member left, or did not refute a suspicion in time.
    Left,
}

impl MemberState {
    /// Returns the name for metrics, logs and responses to operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Left => "left",
        }
    }
}

/// Describes a member at one incarnation, as gossiped between nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberUpdate {
    /// Member that the update is about.
    pub node: NodeId,
    /// Incarnation of the member that the update is about.
    pub incarnation: IncarnationNumber,
    /// State of the member.
    pub state: MemberState,
    /// Address on which the member listens for peers.
    pub address: PeerAddress,
    /// Data centre that the member is in.
    pub data_centre: DataCentreId,
}

impl MemberUpdate {
    /// Returns whether this update replaces `other` about the same member.
    ///
    /// A larger incarnation replaces a smaller one; at equal incarnations, the later state does.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns whether the member is live: alive or suspect.
    pub fn is_live(&self) -> bool {
        self.state != MemberState::Left
    }
}

/// Holds one entry of the member list of an epoch.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ListedMember {
    /// Name of the member.
    pub node: NodeId,
    /// Address on which the member listens for peers.
    pub address: PeerAddress,
    /// Data centre that the member is in.
    pub data_centre: DataCentreId,
}

/// Holds all that one node knows about the fleet, for a node that starts or has missed updates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberSnapshot {
    /// Member list of the newest known epoch; its epoch is 0 when none is known.
    pub list: MemberList,
    /// Latest update about each member, the sender included.
    pub updates: Vec<MemberUpdate>,
    /// Drain notices in force.
    pub notices: Vec<DrainNotice>,
}

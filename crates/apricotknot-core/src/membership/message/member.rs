//! Members and what is known of them.

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

/// Says whether a member is believed to be there; a later state outranks an earlier one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemberState {
    /// The member answers.
    Alive,
    /// The member did not answer a probe and has not refuted that yet.
    Suspect,
    /// The member left, or was suspected for too long.
    Left,
}

impl MemberState {
    /// Returns the name used in metrics, logs and operators' answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Left => "left",
        }
    }
}

/// Holds what one node knows of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberUpdate {
    /// Member that the news is about.
    pub node: NodeId,
    /// Life of the member that the news is about.
    pub incarnation: IncarnationNumber,
    /// Whether the member is believed to be there.
    pub state: MemberState,
    /// Address on which the member listens for peers.
    pub address: PeerAddress,
    /// Data centre that the member is in.
    pub data_centre: DataCentreId,
}

impl MemberUpdate {
    /// Returns whether this news replaces `other` about the same member.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns whether the member is believed to be there, suspected or not.
    pub fn is_live(&self) -> bool {
        self.state != MemberState::Left
    }
}

/// Holds one entry of the member list of an epoch.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ListedMember {
    /// Member.
    pub node: NodeId,
    /// Address on which the member listens for peers.
    pub address: PeerAddress,
    /// Data centre that the member is in.
    pub data_centre: DataCentreId,
}

/// Holds all that one node knows of the fleet, for a node that starts or fell behind.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberSnapshot {
    /// Member list of the newest epoch; epoch 0 when none is known.
    pub list: MemberList,
    /// What is known of each member.
    pub updates: Vec<MemberUpdate>,
    /// Drain orders in force.
    pub notices: Vec<DrainNotice>,
}

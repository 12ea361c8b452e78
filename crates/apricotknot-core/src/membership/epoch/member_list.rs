//! The numbered member list that the key-value service holds.

use serde::Deserialize;
use serde::Serialize;

use crate::membership::ListedMember;
use crate::types::EpochNumber;
use crate::types::NodeId;

/// Holds the member list of one epoch; the key-value service stores it as JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberList {
    /// Number of the epoch; each accepted write increases it by one.
    pub epoch: EpochNumber,
    /// Node that proposed the list; shows after a lost response whose write was accepted.
    pub proposer: NodeId,
    /// Members, sorted by name.
    pub members: Vec<ListedMember>,
}

impl MemberList {
    /// Returns whether `node` is in the list.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.members.iter().any(|member| member.node == *node)
    }
}

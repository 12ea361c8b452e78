//! The member list of an epoch.

use serde::Deserialize;
use serde::Serialize;

use crate::membership::ListedMember;
use crate::types::EpochNumber;
use crate::types::NodeId;

/// Holds the member list of an epoch, as the key-value service holds it in JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberList {
    /// Epoch; grows by one with each accepted write.
    pub epoch: EpochNumber,
    /// Node that proposed the list; tells its own write from that of another after a lost answer.
    pub proposer: NodeId,
    /// Members, by name.
    pub members: Vec<ListedMember>,
}

impl MemberList {
    /// Returns whether `node` is listed.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.members.iter().any(|member| member.node == *node)
    }
}

//! Who owns which pool and holds shares of it, as this node believes at one moment.

use std::collections::BTreeMap;

use apricotknot_core::types::EpochNumber;
use apricotknot_core::types::FencingNumber;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::PoolId;

/// Says who is responsible for one pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct PoolPlacement {
    /// Node that schedules the pool.
    pub(super) owner: Option<NodeId>,
    /// Nodes that hold shares of the budgets of its endpoints.
    pub(super) holders: Vec<NodeId>,
}

/// Holds the member list as far as the control state needs it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct FleetPlacement {
    /// Epoch of the member list; 0 while none is known.
    pub(super) epoch: EpochNumber,
    /// Members of the list.
    pub(super) nodes: Vec<NodeId>,
    /// Fencing number of new grants of this node.
    pub(super) fencing: FencingNumber,
    /// Newest epoch that was read from or written to the key-value service in this life.
    pub(super) stored_epoch: EpochNumber,
    /// Whether no earlier life of this node can have been a member.
    pub(super) is_first_incarnation: bool,
    /// Who is responsible for each pool.
    pub(super) pools: BTreeMap<PoolId, PoolPlacement>,
}

impl FleetPlacement {
    /// Returns whether `node` owns a pool, or would own it next.
    pub(super) fn is_owner_or_next(&self, pool: &str, node: &NodeId) -> bool {
        let Some(placement) = self.pools.get(pool) else {
            return false;
        };
        placement.owner.as_ref() == Some(node)
            || placement.holders.iter().take(2).any(|near| near == node)
    }

    /// Returns the owner of a pool.
    pub(super) fn owner_of(&self, pool: &str) -> Option<&NodeId> {
        self.pools.get(pool)?.owner.as_ref()
    }
}

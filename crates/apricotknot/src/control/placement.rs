//! Owner and share holders of each pool, as far as this node knows.

use std::collections::BTreeMap;

use apricotknot_core::types::EpochNumber;
use apricotknot_core::types::FencingNumber;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::PoolId;

/// Holds the owner and the share holders of one pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct PoolPlacement {
    /// Node that schedules the pool.
    pub(super) owner: Option<NodeId>,
    /// Nodes that hold shares of the budgets of its endpoints, in rendezvous order.
    pub(super) holders: Vec<NodeId>,
}

/// Holds the part of the member list that the control state uses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct FleetPlacement {
    /// Epoch of the member list; 0 while none is known.
    pub(super) epoch: EpochNumber,
    /// Members of the list.
    pub(super) nodes: Vec<NodeId>,
    /// Fencing number that this node puts into new grants.
    pub(super) fencing: FencingNumber,
    /// Newest epoch that this incarnation has read from or written to the key-value service.
    pub(super) stored_epoch: EpochNumber,
    /// Whether no earlier incarnation of this node can have been a member.
    pub(super) is_first_incarnation: bool,
    /// Owner and share holders of each pool.
    pub(super) pools: BTreeMap<PoolId, PoolPlacement>,
}

impl FleetPlacement {
    /// Returns whether `node` owns a pool or is among its first two share holders, one of which
    /// would own it next.
    pub(super) fn is_owner_or_next(&self, pool: &str, node: &NodeId) -> bool {
        let Some(placement) = self.pools.get(pool) else {
            return false;
        };
        placement.owner.as_ref() == Some(node)
            || placement.holders.iter().take(2).any(|near| near == node)
    }

    /// Returns the owner of a pool, if the pool is known and has one.
    pub(super) fn owner_of(&self, pool: &str) -> Option<&NodeId> {
        self.pools.get(pool)?.owner.as_ref()
    }
}

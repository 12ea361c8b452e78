//! Assignment of the shares of an endpoint's budget to nodes.

use crate::admission::BudgetAmount;
use crate::types::EndpointId;
use crate::types::EpochNumber;
use crate::types::NodeId;

/// Distinguishes the origins of an assignment.
///
/// An earlier incarnation of this node may have given up its share to a newer epoch that this
/// incarnation does not know of. A read of the store that began in this incarnation rules that out;
/// an assignment received from another node does not.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AssignmentOrigin {
    /// Received from another node. As the first assignment of an incarnation it is not used until a
    /// read of the store confirms it.
    Peer,
    /// Read from the store in this incarnation of this node.
    Store,
    /// Read from the store, and the endpoint is newer than this incarnation of this node.
    StoreNewEndpoint,
}

/// Assigns the shares of the budget of one endpoint under one epoch of the member list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShareAssignment {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Epoch of the member list.
    pub epoch: EpochNumber,
    /// Whole budget of the endpoint.
    pub budget: BudgetAmount,
    /// Nodes that hold a share, in the order of rendezvous hashing.
    pub holders: Vec<NodeId>,
    /// Nodes that may still use shares of earlier epochs, each with an upper bound of the amount.
    /// Additional nodes in the list are safe, missing ones are not.
    pub predecessors: Vec<(NodeId, BudgetAmount)>,
    /// All nodes that may run an attempt under this epoch or an earlier one.
    pub nodes: Vec<NodeId>,
}

impl ShareAssignment {
    /// Returns the share of a node; zero if it holds none.
    pub fn share_of(&self, node: &str) -> BudgetAmount {
        let Some(index) = self.holders.iter().position(|holder| &**holder == node) else {
            return BudgetAmount::default();
        };
        let count = self.holders.len() as u64;
        let index = index as u64;
        let memory_tokens = nth_part(self.budget.memory_tokens, count, index);
        let concurrent = nth_part(self.budget.concurrent.into(), count, index);
        BudgetAmount::new(memory_tokens, u32::try_from(concurrent).unwrap_or(u32::MAX))
    }

    /// Returns the holders with their shares, to be used as predecessors of the next epoch.
    pub fn shares(&self) -> Vec<(NodeId, BudgetAmount)> {
        let holders = self.holders.iter();
        holders.map(|holder| (holder.clone(), self.share_of(holder))).collect()
    }

    /// Returns the part of an amount in use from earlier epochs that each holder must leave unused.
    pub(super) fn deduction(&self, amount: BudgetAmount) -> BudgetAmount {
        let count = (self.holders.len() as u64).max(1);
        let concurrent = u64::from(amount.concurrent).div_ceil(count);
        BudgetAmount::new(
            amount.memory_tokens.div_ceil(count),
            u32::try_from(concurrent).unwrap_or(u32::MAX),
        )
    }
}

fn nth_part(whole: u64, count: u64, index: u64) -> u64 {
    whole / count + u64::from(index < whole % count)
}

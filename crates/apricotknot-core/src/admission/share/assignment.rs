//! Who holds which share of an endpoint's budget.

use crate::admission::BudgetAmount;
use crate::types::EndpointId;
use crate::types::EpochNumber;
use crate::types::NodeId;

/// Says where an assignment is known from.
///
/// An earlier life of this node may have given up its share to a newer epoch that this life has
/// not heard of. A read of the store that began in this life rules that out; hearsay does not.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AssignmentOrigin {
    /// Another node told; the first assignment of a life is then not used until a read confirms it.
    Peer,
    /// The store was read since this life of this node began.
    Store,
    /// The store was read, and the endpoint is newer than this life of this node.
    StoreNewEndpoint,
}

/// Assigns the shares of one endpoint's budget under one epoch of the member list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShareAssignment {
    /// Names the endpoint.
    pub endpoint: EndpointId,
    /// Epoch of the member list.
    pub epoch: EpochNumber,
    /// The endpoint's whole budget.
    pub budget: BudgetAmount,
    /// Nodes that hold a share, in rendezvous order.
    pub holders: Vec<NodeId>,
    /// Nodes that may hold something of earlier epochs, with the most that it can be; listing too
    /// many is safe.
    pub predecessors: Vec<(NodeId, BudgetAmount)>,
    /// Every node that may run an attempt under this epoch or an earlier one.
    pub nodes: Vec<NodeId>,
}

impl ShareAssignment {
    /// Returns the share of a node, zero when it holds none.
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

    /// Returns the holders with their shares, as the next epoch's predecessors.
    pub fn shares(&self) -> Vec<(NodeId, BudgetAmount)> {
        let holders = self.holders.iter();
        holders.map(|holder| (holder.clone(), self.share_of(holder))).collect()
    }

    /// Returns the part of an amount of earlier epochs that each holder leaves unused.
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

//! Owners and share holders of pools, derived from the member list alone.

use super::hash::hash_text;
use super::hash::mix;
use crate::types::EpochNumber;
use crate::types::FencingNumber;
use crate::types::NodeId;
use crate::types::PoolId;

/// Bits of a fencing number below the epoch; they count successive owners within one epoch.
const TERM_BITS: u32 = 24;

/// Ranks the members of one epoch for each pool, by rendezvous hashing.
///
/// All nodes with the same member list compute the same ranks. When a member joins or leaves, the
/// owner changes only for the pools that this member gains or loses.
#[derive(Clone, Debug, Default)]
pub struct OwnerMap {
    epoch: EpochNumber,
    members: Vec<(u64, NodeId)>,
}

impl OwnerMap {
    /// Creates the map for the member list of `epoch`.
    pub fn new(epoch: EpochNumber, members: impl IntoIterator<Item = NodeId>) -> Self {
        let members = members.into_iter().map(|node| (hash_text(0, &node), node)).collect();
        Self { epoch, members }
    }
}

impl OwnerMap {
    /// Returns the epoch of the member list.
    pub fn epoch(&self) -> EpochNumber {
        self.epoch
    }

    /// Returns the first `count` members for `pool`, by rank, live or not.
    ///
    /// These members hold the shares of the budgets of the pool's endpoints.
    pub fn holders_of(&self, pool: &PoolId, count: usize) -> Vec<NodeId> {
        let pool_hash = hash_text(1, pool);
        let mut ranked: Vec<_> =
            self.members.iter().map(|(hash, node)| (mix(hash ^ pool_hash), node)).collect();
        let by_rank = |a: &(u64, &NodeId), b: &(u64, &NodeId)| b.cmp(a);
        if count == 0 || ranked.is_empty() {
            return Vec::new();
        }
        if count < ranked.len() {
            ranked.select_nth_unstable_by(count - 1, by_rank);
            ranked.truncate(count);
        }
        ranked.sort_unstable_by(by_rank);
        ranked.into_iter().map(|(_, node)| node.clone()).collect()
    }

    /// Returns the highest-ranked member for `pool` for which `is_live` returns true.
    pub fn owner_of(&self, pool: &PoolId, is_live: impl Fn(&NodeId) -> bool) -> Option<&NodeId> {
        let pool_hash = hash_text(1, pool);
        let live = self.members.iter().filter(|(_, node)| is_live(node));
        live.max_by_key(|(hash, node)| (mix(hash ^ pool_hash), node)).map(|(_, node)| node)
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the map has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

/// Returns the fencing number of a new owner that knows of none larger than `newest_seen`.
///
/// A later epoch always gives a larger number. The epoch cannot change while the key-value service
/// is unavailable; within one epoch, a new owner exceeds every number that the share holders of the
/// pool have seen.
pub fn next_fencing(epoch: EpochNumber, newest_seen: FencingNumber) -> FencingNumber {
    let first = epoch << TERM_BITS;
    first.max(newest_seen + 1)
}

//! Read access to the cluster state of one node.

use super::ClusterState;
use crate::membership::ConfigReplicator;
use crate::membership::ConfigurationBatch;
use crate::membership::CoverageReport;
use crate::membership::DrainTable;
use crate::membership::ListedMember;
use crate::membership::MemberList;
use crate::membership::MemberSnapshot;
use crate::membership::MemberTable;
use crate::membership::OwnerMap;
use crate::membership::PeerTarget;
use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::PoolId;
use crate::types::RevisionNumber;

/// Nodes that watch the key-value service for configuration; the others receive it from peers.
const WATCHER_COUNT: usize = 2;

/// Pool name by which members are ranked as watchers.
const WATCH_POOL: &str = "configuration";

impl ClusterState {
    /// Returns whether the node may act at `now` as the owner of its pools.
    ///
    /// Requires that it has synchronised with a peer since it started or resumed, or has none.
    pub fn may_act(&self, now: MonotonicTime) -> bool {
        self.sync.is_done && self.table.may_act(now)
    }

    /// Returns the table of members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the replicator, which holds the configuration in force.
    pub fn replicator(&self) -> &ConfigReplicator {
        &self.replicator
    }

    /// Returns the table of drain notices.
    pub fn drains(&self) -> &DrainTable {
        self.table.drains()
    }

    /// Returns the member list in use; its epoch is 0 when none is known.
    pub fn member_list(&self) -> &MemberList {
        self.keeper.list()
    }

    /// Returns the ranks of the members for each pool.
    pub fn owners(&self) -> &OwnerMap {
        &self.owners
    }

    /// Returns the owner of `pool` by this node's view of the live members.
    pub fn owner_of(&self, pool: &PoolId) -> Option<&NodeId> {
        self.owners.owner_of(pool, |node| self.table.is_live(node))
    }

    /// Returns the `count` members that hold shares for `pool`, live or not.
    pub fn holders_of(&self, pool: &PoolId, count: usize) -> Vec<NodeId> {
        self.owners.holders_of(pool, count)
    }

    /// Returns whether this node watches the key-value service for configuration.
    ///
    /// The first live members by rank do, and any node that is not in the member list.
    pub fn is_watcher(&self) -> bool {
        let live = self.owners.holders_of(&PoolId::from(WATCH_POOL), self.owners.len());
        let mut live = live.iter().filter(|node| self.table.is_live(node)).take(WATCHER_COUNT);
        live.any(|node| *node == self.table.own().node) || !self.is_listed()
    }

    /// Returns whether the lease of this node in the key-value service is valid at `now`.
    pub fn holds_lease(&self, now: MonotonicTime) -> bool {
        self.lease.holds(now)
    }

    /// Returns on which members the newest configuration is in force.
    pub fn coverage(&self) -> CoverageReport {
        self.coverage.report()
    }

    /// Returns all that this node knows about the fleet, for a peer that pulls it.
    pub fn snapshot(&self) -> MemberSnapshot {
        let mut updates: Vec<_> = self.table.members().cloned().collect();
        updates.push(self.table.own().clone());
        MemberSnapshot {
            list: self.keeper.list().clone(),
            updates,
            notices: self.table.drains().notices().cloned().collect(),
        }
    }

    /// Returns the next configuration batch for a peer that has `since` in force.
    pub fn batch(&self, since: RevisionNumber) -> ConfigurationBatch {
        self.replicator.table().batch(since)
    }

    /// Returns the address of `node`; none if this node does not know it.
    pub fn target_of(&self, node: &NodeId) -> Option<PeerTarget> {
        let member = self.table.latest_update(node)?;
        Some(PeerTarget { node: member.node.clone(), address: member.address })
    }

    fn is_listed(&self) -> bool {
        self.keeper.list().epoch == 0 || self.keeper.list().contains(&self.table.own().node)
    }

    /// Returns the live members as entries of a member list, sorted by name.
    pub(super) fn live_members(&self) -> Vec<ListedMember> {
        let mut live: Vec<_> = self
            .table
            .live()
            .map(|member| ListedMember {
                node: member.node.clone(),
                address: member.address,
                data_centre: member.data_centre.clone(),
            })
            .collect();
        live.sort_unstable();
        live
    }
}

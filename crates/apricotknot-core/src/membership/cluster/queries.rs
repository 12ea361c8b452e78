//! What the cluster state of one node can be asked.

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

/// Nodes that watch the key-value service for configuration; the others hear from them.
const WATCHER_COUNT: usize = 2;

/// Name under which the watchers are ranked.
const WATCH_POOL: &str = "configuration";

/// Queries.
impl ClusterState {
    /// Returns whether the node may act at `now` on what it owns.
    pub fn may_act(&self, now: MonotonicTime) -> bool {
        self.sync.is_done && self.table.may_act(now)
    }

    /// Returns the members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the configuration in force and how it is spread.
    pub fn replicator(&self) -> &ConfigReplicator {
        &self.replicator
    }

    /// Returns the drain orders.
    pub fn drains(&self) -> &DrainTable {
        self.table.drains()
    }

    /// Returns the member list in use; epoch 0 when none is known.
    pub fn member_list(&self) -> &MemberList {
        self.keeper.list()
    }

    /// Returns the ranks of the members for each pool.
    pub fn owners(&self) -> &OwnerMap {
        &self.owners
    }

    /// Returns the owner of `pool`, as far as this node knows.
    pub fn owner_of(&self, pool: &PoolId) -> Option<&NodeId> {
        self.owners.owner_of(pool, |node| self.table.is_live(node))
    }

    /// Returns the `count` members that hold shares for `pool`, whether they are there or not.
    pub fn holders_of(&self, pool: &PoolId, count: usize) -> Vec<NodeId> {
        self.owners.holders_of(pool, count)
    }

    /// Returns whether this node watches the key-value service for configuration.
    pub fn is_watcher(&self) -> bool {
        let live = self.owners.holders_of(&PoolId::from(WATCH_POOL), self.owners.len());
        let mut live = live.iter().filter(|node| self.table.is_live(node)).take(WATCHER_COUNT);
        live.any(|node| *node == self.table.own().node) || !self.is_listed()
    }

    /// Returns whether the lease in the key-value service holds at `now`.
    pub fn holds_lease(&self, now: MonotonicTime) -> bool {
        self.lease.holds(now)
    }

    /// Returns on which members the newest configuration is in force.
    pub fn coverage(&self) -> CoverageReport {
        self.coverage.report()
    }

    /// Returns what this node knows of the fleet, for a peer.
    pub fn snapshot(&self) -> MemberSnapshot {
        let mut updates: Vec<_> = self.table.members().cloned().collect();
        updates.push(self.table.own().clone());
        MemberSnapshot {
            list: self.keeper.list().clone(),
            updates,
            notices: self.table.drains().notices().cloned().collect(),
        }
    }

    /// Returns configuration for a peer that has `since` in force.
    pub fn batch(&self, since: RevisionNumber) -> ConfigurationBatch {
        self.replicator.table().batch(since)
    }

    /// Returns where to reach `node`.
    pub fn target_of(&self, node: &NodeId) -> Option<PeerTarget> {
        let member = self.table.latest_update(node)?;
        Some(PeerTarget { node: member.node.clone(), address: member.address })
    }

    fn is_listed(&self) -> bool {
        self.keeper.list().epoch == 0 || self.keeper.list().contains(&self.table.own().node)
    }

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

//! Pulls the state of a peer before a started or resumed node acts as an owner.

use std::time::Duration;

use super::ClusterAction;
use super::ClusterState;
use crate::membership::MemberState;
use crate::membership::PeerTarget;
use crate::types::MonotonicTime;

/// Shortest time between two pulls of member snapshots.
const PULL_INTERVAL: Duration = Duration::from_millis(500);

/// Tracks whether a node that started or resumed has pulled the state of a peer.
///
/// Without that, the pools that it owns would miss drain notices and configuration that spread
/// while it did not run, until the next exchange of updates.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SyncState {
    pub(super) is_done: bool,
    /// Time of the last pull.
    requested_at: Option<MonotonicTime>,
}

impl ClusterState {
    /// Requires another pull before the node acts as an owner again.
    pub(super) fn restart_sync(&mut self) {
        self.sync = SyncState::default();
    }

    /// Pulls the member snapshot of a peer until one has arrived.
    pub(super) fn tick_sync(&mut self, now: MonotonicTime, actions: &mut Vec<ClusterAction>) {
        if self.sync.is_done || !self.table.may_act(now) {
            return;
        }
        let Some(from) = self.sync_source(now) else {
            self.sync.is_done = true;
            return;
        };
        let is_due =
            self.sync.requested_at.is_none_or(|requested| now >= requested + PULL_INTERVAL);
        if is_due {
            self.sync.requested_at = Some(now);
            actions.push(ClusterAction::PullMembers { from });
        }
    }

    /// Returns another live peer for each pull, so that one that does not respond delays nothing.
    fn sync_source(&self, now: MonotonicTime) -> Option<PeerTarget> {
        let own = &self.table.own().node;
        let others: Vec<_> = self
            .table
            .live()
            .filter(|member| member.node != *own && member.state == MemberState::Alive)
            .collect();
        if others.is_empty() {
            return None;
        }
        let rotation = now.as_millis() / PULL_INTERVAL.as_millis();
        let index = usize::try_from(rotation % others.len() as u128).unwrap_or_default();
        let member = others[index];
        Some(PeerTarget { node: member.node.clone(), address: member.address })
    }
}

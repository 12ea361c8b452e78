//! Learning what peers know before the node acts on what it owns.

use std::time::Duration;

use super::ClusterAction;
use super::ClusterState;
use crate::membership::MemberState;
use crate::membership::PeerTarget;
use crate::types::MonotonicTime;

/// Shortest time between two pulls of what a peer knows.
const PULL_INTERVAL: Duration = Duration::from_millis(500);

/// Tracks whether a node that started or woke has learned what its peers know.
///
/// Drain orders and configuration that spread while it did not run would otherwise be missed by
/// the pools that it owns, until the next exchange of news.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SyncState {
    pub(super) is_done: bool,
    requested_at: Option<MonotonicTime>,
}

/// Commands.
impl ClusterState {
    /// Lets the node learn anew before it acts.
    pub(super) fn restart_sync(&mut self) {
        self.sync = SyncState::default();
    }

    /// Asks a peer for what it knows, while that is not known here.
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

    /// Chooses another peer each time, so that one that does not answer holds nothing up.
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

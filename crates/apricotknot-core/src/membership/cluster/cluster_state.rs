//! State machine that combines membership, configuration, drains and the member list of a node.

use std::slice;
use std::sync::Arc;
use std::time::Duration;

use super::ClusterAction;
use super::sync::SyncState;
use crate::membership::ConfigAction;
use crate::membership::ConfigReplicator;
use crate::membership::ConfigurationBatch;
use crate::membership::CoverageMap;
use crate::membership::DrainNotice;
use crate::membership::DrainSubject;
use crate::membership::EpochAction;
use crate::membership::EpochKeeper;
use crate::membership::LeaseKeeper;
use crate::membership::MemberAction;
use crate::membership::MemberList;
use crate::membership::MemberSettings;
use crate::membership::MemberSnapshot;
use crate::membership::MemberTable;
use crate::membership::MemberUpdate;
use crate::membership::NodeSummary;
use crate::membership::OwnerMap;
use crate::membership::PeerAddress;
use crate::membership::PeerTarget;
use crate::membership::ProbeMessage;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Members of a large fleet to which a node announces new configuration, drains and member lists.
const ANNOUNCE_FANOUT: usize = 4;

/// Largest number of other members for which an announcement goes to all of them.
const SMALL_FLEET: usize = 8;

/// Shortest time between two rounds of announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two checks of the member list and the lease.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two pulls of a newer member list that a peer has reported.
const LIST_PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between two rounds in which all drain notices are sent again.
const DRAIN_RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// Combines membership, configuration, drains and the member list of one node.
///
/// Its input is the messages of peers and the responses to its own requests; its output is the
/// calls to make, the records to put in force and the changes to report. It performs no I/O and
/// never blocks on the key-value service.
#[derive(Clone, Debug)]
pub struct ClusterState {
    pub(super) table: MemberTable,
    pub(super) replicator: ConfigReplicator,
    pub(super) coverage: CoverageMap,
    pub(super) keeper: EpochKeeper,
    pub(super) lease: LeaseKeeper,
    pub(super) owners: OwnerMap,
    /// Whether something has changed since the last announcement.
    needs_announcement: bool,
    announced_at: Option<MonotonicTime>,
    next_list_check: MonotonicTime,
    /// Time of the last pull of a newer member list.
    pulled_at: Option<MonotonicTime>,
    drains_resent_at: Option<MonotonicTime>,
    pub(super) sync: SyncState,
}

impl ClusterState {
    /// Creates the state of a node that starts at `now` and first contacts the addresses `seeds`.
    pub fn new(
        settings: MemberSettings,
        own: MemberUpdate,
        seeds: Vec<PeerAddress>,
        now: MonotonicTime,
    ) -> Self {
        let node = own.node.clone();
        let mut state = Self {
            table: MemberTable::new(settings, own, seeds, now),
            replicator: ConfigReplicator::new(node.clone()),
            coverage: CoverageMap::new(node.clone()),
            keeper: EpochKeeper::new(node.clone()),
            lease: LeaseKeeper::new(node),
            owners: OwnerMap::default(),
            needs_announcement: false,
            announced_at: None,
            next_list_check: now,
            pulled_at: None,
            drains_resent_at: None,
            sync: SyncState::default(),
        };
        state.rank_live_members();
        state
    }
}

impl ClusterState {
    /// Advances timers to `now`; to be called about ten times a second.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<ClusterAction> {
        let members = self.table.tick(now);
        let mut actions = self.on_members(members);
        let config = self.replicator.tick(now);
        self.on_config(config, &mut actions);
        if now >= self.next_list_check {
            self.next_list_check = now + LIST_CHECK_INTERVAL;
            let live = self.live_members();
            let list = self.keeper.tick(live, self.table.may_act(now), now);
            self.on_list(list, &mut actions);
            actions.extend(self.lease.tick(now).map(ClusterAction::from));
        }
        if actions.iter().any(|action| matches!(action, ClusterAction::Resumed { .. })) {
            self.restart_sync();
        }
        self.tick_sync(now, &mut actions);
        self.announce(now, &mut actions);
        actions
    }

    /// Handles a probe message.
    ///
    /// A [`ClusterAction::Probe`] to its sender may be sent in the response.
    pub fn receive_probe(
        &mut self,
        message: &ProbeMessage,
        now: MonotonicTime,
    ) -> Vec<ClusterAction> {
        let mut actions = Vec::new();
        if message.sender.node == self.table.own().node {
            return actions;
        }
        let drains = self.apply_drains(&message.notices, &mut actions);
        self.coverage.merge(&message.summary);
        self.refresh_summary();
        let members = self.table.receive(message, now);
        actions.extend(self.on_members(members));
        self.on_summary(message, now, &mut actions);
        self.needs_announcement |= drains > 0;
        actions
    }

    /// Records that the receiver of the probe `sequence` is unreachable, and probes it indirectly.
    pub fn probe_failed(&mut self, sequence: u64, now: MonotonicTime) -> Vec<ClusterAction> {
        let members = self.table.probe_failed(sequence, now);
        self.on_members(members)
    }

    /// Records that a call to `node` could not be made, so that `node` is probed next.
    pub fn hint_unreachable(&mut self, node: &NodeId) {
        self.table.hint_unreachable(node);
    }

    /// Applies the member snapshot that was pulled from a peer.
    pub fn receive_snapshot(
        &mut self,
        snapshot: &MemberSnapshot,
        now: MonotonicTime,
    ) -> Vec<ClusterAction> {
        let members = self.table.merge(&snapshot.updates, now);
        let mut actions = self.on_members(members);
        self.needs_announcement |= self.apply_drains(&snapshot.notices, &mut actions) > 0;
        let list = self.keeper.adopt_newer(&snapshot.list);
        self.on_list(list, &mut actions);
        self.sync.is_done = true;
        actions
    }

    /// Applies configuration that was pulled from `peer`.
    pub fn receive_batch(
        &mut self,
        peer: &NodeId,
        batch: &ConfigurationBatch,
        now: MonotonicTime,
    ) -> Vec<ClusterAction> {
        let mut actions = Vec::new();
        let config = self.replicator.receive(peer, batch, now);
        self.on_config(config, &mut actions);
        actions
    }

    /// Records that a pull of configuration from `peer` failed.
    pub fn pull_failed(&mut self, peer: &NodeId, now: MonotonicTime) -> Vec<ClusterAction> {
        let mut actions = Vec::new();
        let config = self.replicator.pull_failed(peer, now);
        self.on_config(config, &mut actions);
        actions
    }

    /// Issues a drain notice on this node; it spreads between nodes without the key-value service.
    pub fn drain(
        &mut self,
        subject: DrainSubject,
        name: impl Into<Arc<str>>,
        out: bool,
    ) -> Vec<ClusterAction> {
        let origin = self.table.own().node.clone();
        let notice = self.table.drains_mut().issue(subject, name, out, origin);
        self.needs_announcement = true;
        vec![ClusterAction::Drain { notice }]
    }

    /// Applies a drain notice that a peer forwarded.
    pub fn receive_drain(&mut self, notice: &DrainNotice) -> Vec<ClusterAction> {
        let mut actions = Vec::new();
        self.needs_announcement |= self.apply_drains(slice::from_ref(notice), &mut actions) > 0;
        actions
    }

    /// Adds an address from the list of VMs at which a node may listen.
    pub fn hint_address(&mut self, address: PeerAddress) {
        self.table.hint_address(address);
    }

    /// Leaves the fleet, and sends leave messages to some members.
    pub fn leave(&mut self) -> Vec<ClusterAction> {
        let members = self.table.leave();
        self.on_members(members)
    }

    /// Converts actions of the member table, and ranks members anew if no member list is known.
    pub(super) fn on_members(&mut self, members: Vec<MemberAction>) -> Vec<ClusterAction> {
        let is_changed =
            members.iter().any(|action| matches!(action, MemberAction::Changed { .. }));
        if is_changed && self.keeper.list().epoch == 0 {
            self.rank_live_members();
        }
        members.into_iter().map(member_action).collect()
    }

    /// Converts actions of the replicator, and updates the coverage and the summary.
    pub(super) fn on_config(
        &mut self,
        config: Vec<ConfigAction>,
        actions: &mut Vec<ClusterAction>,
    ) {
        for action in config {
            match action {
                ConfigAction::Pull { peer, since } => match self.target_of(&peer) {
                    Some(from) => actions.push(ClusterAction::PullConfiguration { from, since }),
                    None => self.replicator.remove_source(&peer),
                },
                ConfigAction::Apply { records, revision } => {
                    actions.push(ClusterAction::Apply { records, revision });
                    self.needs_announcement = true;
                },
            }
        }
        self.coverage.set_own_revision(self.replicator.table().revision());
        self.refresh_summary();
    }

    /// Converts actions of the epoch keeper, and puts an adopted list into use.
    pub(super) fn on_list(&mut self, list: Vec<EpochAction>, actions: &mut Vec<ClusterAction>) {
        for action in list {
            let EpochAction::Adopt { list } = action else {
                actions.push(ClusterAction::List(action));
                continue;
            };
            self.adopt(&list);
            actions.push(ClusterAction::ListAdopted { list });
            self.needs_announcement = true;
        }
    }

    /// Uses the members of `list` as owners, as coverage bits and as addresses to contact.
    fn adopt(&mut self, list: &MemberList) {
        let nodes = || list.members.iter().map(|member| member.node.clone());
        self.owners = OwnerMap::new(list.epoch, nodes());
        self.coverage.set_list(list.epoch, nodes());
        for member in &list.members {
            self.table.hint_address(member.address);
        }
        self.refresh_summary();
    }

    /// Compares the summary of the sender with this node, and pulls or resends what differs.
    fn on_summary(
        &mut self,
        message: &ProbeMessage,
        now: MonotonicTime,
        actions: &mut Vec<ClusterAction>,
    ) {
        let (sender, summary) = (&message.sender, &message.summary);
        let config = self.replicator.receive_summary(&sender.node, summary, now);
        self.on_config(config, actions);
        let is_due = |last: Option<MonotonicTime>, interval: Duration| {
            last.is_none_or(|last| now.saturating_sub(last) >= interval)
        };
        if summary.epoch > self.keeper.list().epoch && is_due(self.pulled_at, LIST_PULL_INTERVAL) {
            self.pulled_at = Some(now);
            let from = PeerTarget { node: sender.node.clone(), address: sender.address };
            actions.push(ClusterAction::PullMembers { from });
        }
        let differs = summary.drain_digest != self.table.drains().digest();
        if differs && is_due(self.drains_resent_at, DRAIN_RESEND_INTERVAL) {
            self.drains_resent_at = Some(now);
            self.table.drains_mut().resend_all();
        }
    }

    /// Applies drain notices, and returns how many are new.
    fn apply_drains(&mut self, notices: &[DrainNotice], actions: &mut Vec<ClusterAction>) -> usize {
        let before = actions.len();
        for notice in notices {
            if self.table.drains_mut().apply(notice) {
                actions.push(ClusterAction::Drain { notice: notice.clone() });
            }
        }
        actions.len() - before
    }

    /// Pings some members so that changes since the last round reach them without delay.
    fn announce(&mut self, now: MonotonicTime, actions: &mut Vec<ClusterAction>) {
        let is_due =
            self.announced_at.is_none_or(|last| now.saturating_sub(last) >= ANNOUNCE_INTERVAL);
        if !self.needs_announcement || !is_due {
            return;
        }
        self.needs_announcement = false;
        self.announced_at = Some(now);
        self.refresh_summary();
        let others = self.table.live().count().saturating_sub(1);
        let fanout = if others <= SMALL_FLEET { others } else { ANNOUNCE_FANOUT };
        let members = self.table.announce(fanout);
        actions.extend(members.into_iter().map(member_action));
    }

    /// Updates the summary that is piggybacked on messages.
    fn refresh_summary(&mut self) {
        let table = self.replicator.table();
        let mut summary = NodeSummary {
            epoch: self.keeper.list().epoch,
            revision: table.revision(),
            configuration_digest: table.digest(),
            ..NodeSummary::default()
        };
        self.coverage.write_summary(&mut summary);
        self.table.set_summary(summary);
    }

    /// Ranks the live members; used only while no member list is known.
    fn rank_live_members(&mut self) {
        self.owners = OwnerMap::new(0, self.table.live().map(|member| member.node.clone()));
    }
}

fn member_action(action: MemberAction) -> ClusterAction {
    match action {
        MemberAction::Send { to, message } => ClusterAction::Probe { to, message },
        MemberAction::PullMembers { from } => ClusterAction::PullMembers { from },
        MemberAction::Changed { update, previous } => {
            ClusterAction::MemberChanged { update, previous }
        },
        MemberAction::Resumed { paused } => ClusterAction::Resumed { paused },
        MemberAction::Refuted { state, incarnation } => {
            ClusterAction::Refuted { state, incarnation }
        },
        MemberAction::Confirmed => ClusterAction::Confirmed,
    }
}

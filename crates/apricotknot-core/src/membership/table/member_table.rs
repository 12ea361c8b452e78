//! Table of the members of the fleet, with a SWIM-like failure detector.

use std::collections::BTreeMap;
use std::time::Duration;

use super::MemberAction;
use super::OwnStatus;
use super::PeerTarget;
use super::entry::MemberEntry;
use super::entry::ProbeAttempt;
use super::entry::ProbeRelay;
use super::entry::SeedAddress;
use crate::membership::DrainTable;
use crate::membership::MemberSettings;
use crate::membership::MemberState;
use crate::membership::MemberUpdate;
use crate::membership::NodeSummary;
use crate::membership::PeerAddress;
use crate::membership::hash::hash_text;
use crate::membership::hash::mix;
use crate::membership::update_queue::UpdateQueue;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Largest number of addresses from hints that are kept.
const MAX_HINTS: usize = 64;

/// Largest number of members to which this node sends leave messages.
const LEAVE_FANOUT: usize = 8;

/// Tracks which members are live.
///
/// In each period it probes one member, first directly and then through others. A member that does
/// not respond becomes suspect, and left if it does not refute the suspicion in time. Updates are
/// piggybacked on the probes. The list of VMs only adds addresses to try. All times are of this
/// node's own monotonic clock.
#[derive(Clone, Debug)]
pub struct MemberTable {
    pub(super) settings: MemberSettings,
    pub(super) own: MemberUpdate,
    pub(super) members: BTreeMap<NodeId, MemberEntry>,
    /// Addresses from the settings and from hints, at which further members may listen.
    pub(super) seeds: Vec<SeedAddress>,
    /// Updates to piggyback on messages.
    pub(super) queue: UpdateQueue<NodeId, MemberUpdate>,
    pub(super) drains: DrainTable,
    pub(super) summary: NodeSummary,
    pub(super) status: OwnStatus,
    /// Members that this node probes, one in each period.
    pub(super) targets: Vec<NodeId>,
    /// Whether the live members have changed since the targets were selected.
    pub(super) targets_stale: bool,
    /// Member that a call could not reach, to be probed next.
    pub(super) unreachable_hint: Option<NodeId>,
    pub(super) probe: Option<ProbeAttempt>,
    /// Indirect probes for other members, by the sequence number of the ping to the target.
    pub(super) relays: BTreeMap<u64, ProbeRelay>,
    pub(super) next_sequence: u64,
    /// First ping sent since the node started or resumed; only an acknowledgement of this or a
    /// later ping confirms the node.
    pub(super) first_confirming_sequence: u64,
    /// Number of probe periods and announcements so far; rotates targets and addresses.
    pub(super) round: u64,
    pub(super) next_period: MonotonicTime,
    pub(super) last_tick: MonotonicTime,
    /// Time of the last request to pull the whole table of a peer.
    pub(super) last_sync: Option<MonotonicTime>,
    /// Consecutive messages whose digest differed.
    pub(super) digest_mismatches: u32,
    pub(super) digest: u64,
}

impl MemberTable {
    /// Creates the table of a node that starts at `now` and first contacts the addresses `seeds`.
    ///
    /// The incarnation in `own` must be larger than every earlier incarnation of the node.
    pub fn new(
        settings: MemberSettings,
        own: MemberUpdate,
        seeds: Vec<PeerAddress>,
        now: MonotonicTime,
    ) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|address| *address != own.address)
            .map(|address| SeedAddress { address, is_configured: true })
            .collect();
        let offset = settings.probe_period.mul_f64((hash_text(0, &own.node) % 1_000) as f64 / 1e3);
        let mut table = Self {
            settings,
            own,
            members: BTreeMap::new(),
            seeds,
            queue: UpdateQueue::default(),
            drains: DrainTable::default(),
            summary: NodeSummary::default(),
            status: OwnStatus::Unconfirmed { since: now },
            targets: Vec::new(),
            targets_stale: true,
            unreachable_hint: None,
            probe: None,
            relays: BTreeMap::new(),
            next_sequence: 1,
            first_confirming_sequence: 1,
            round: 0,
            next_period: now + offset,
            last_tick: now,
            last_sync: None,
            digest_mismatches: 0,
            digest: 0,
        };
        table.digest = table.live_digest();
        table
    }
}

impl MemberTable {
    /// Sets the summary that is piggybacked on each later message.
    pub fn set_summary(&mut self, summary: NodeSummary) {
        self.summary = summary;
    }

    /// Returns the drain notices, which are piggybacked on messages, for modification.
    pub fn drains_mut(&mut self) -> &mut DrainTable {
        &mut self.drains
    }

    /// Adds an address from the list of VMs at which a node may listen.
    ///
    /// Ignores known addresses; drops the oldest hint when there are too many.
    pub fn hint_address(&mut self, address: PeerAddress) {
        let is_known = self.seeds.iter().any(|seed| seed.address == address)
            || self.members.values().any(|entry| entry.update.address == address);
        if is_known || address == self.own.address {
            return;
        }
        let hints = self.seeds.iter().filter(|seed| !seed.is_configured).count();
        if hints >= MAX_HINTS
            && let Some(oldest) = self.seeds.iter().position(|seed| !seed.is_configured)
        {
            self.seeds.remove(oldest);
        }
        self.seeds.push(SeedAddress { address, is_configured: false });
        if !self.members.values().any(|entry| entry.update.is_live()) {
            // A node that knows no live member does not wait for the next period.
            self.next_period = self.last_tick;
        }
    }

    /// Records that a call to `node` could not be made, so that `node` is probed next.
    pub fn hint_unreachable(&mut self, node: &NodeId) {
        if self.state_of(node) == Some(MemberState::Alive) && *node != self.own.node {
            self.unreachable_hint = Some(node.clone());
        }
    }

    /// Leaves the fleet, and sends leave messages to some members.
    pub fn leave(&mut self) -> Vec<MemberAction> {
        self.status = OwnStatus::Leaving;
        self.own.state = MemberState::Left;
        self.probe = None;
        let targets = self.sample_live(LEAVE_FANOUT, self.round);
        targets.into_iter().map(|to| self.leave_message(to)).collect()
    }

    /// Pings `fanout` probe targets concurrently, so that changes reach them before the next probe.
    pub fn announce(&mut self, fanout: usize) -> Vec<MemberAction> {
        if matches!(self.status, OwnStatus::Leaving) {
            return Vec::new();
        }
        self.round += 1;
        let targets = self.sample_targets(fanout, mix(self.round));
        targets.into_iter().map(|to| self.ping(to)).collect()
    }
}

impl MemberTable {
    /// Returns whether the node may act at `now` as the owner of its pools.
    ///
    /// After a pause, the node's own clock makes this false before the node does anything else.
    pub fn may_act(&self, now: MonotonicTime) -> bool {
        matches!(self.status, OwnStatus::Confirmed)
            && now.saturating_sub(self.last_tick) <= self.settings.pause_limit
    }

    /// Returns the status of this node as of the last tick.
    pub fn status(&self) -> OwnStatus {
        self.status
    }

    /// Returns the table of drain notices.
    pub fn drains(&self) -> &DrainTable {
        &self.drains
    }

    /// Returns the description of this node that it sends to others.
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// Returns the state of `node`; none if it is unknown.
    pub fn state_of(&self, node: &NodeId) -> Option<MemberState> {
        if *node == self.own.node {
            return Some(self.own.state);
        }
        self.members.get(node).map(|entry| entry.update.state)
    }

    /// Returns whether `node` is known and live: alive or suspect.
    pub fn is_live(&self, node: &NodeId) -> bool {
        self.state_of(node).is_some_and(|state| state != MemberState::Left)
    }

    /// Returns the latest update about `node`; none for this node.
    pub fn latest_update(&self, node: &NodeId) -> Option<&MemberUpdate> {
        self.members.get(node).map(|entry| &entry.update)
    }

    /// Returns the latest update about each other member, by name.
    pub fn members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().map(|entry| &entry.update)
    }

    /// Returns the live members, including this node unless it leaves.
    pub fn live(&self) -> impl Iterator<Item = &MemberUpdate> {
        [&self.own].into_iter().chain(self.members()).filter(|member| member.is_live())
    }

    /// Returns the time since `node` last acknowledged a ping; none if it never did.
    pub fn time_since_ack(&self, node: &NodeId, now: MonotonicTime) -> Option<Duration> {
        let last_ack = self.members.get(node)?.last_ack?;
        Some(now.saturating_sub(last_ack))
    }

    /// Returns the digest of the live members and their incarnations.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Computes the digest from all live members.
    pub(super) fn live_digest(&self) -> u64 {
        self.live()
            .map(|member| hash_text(member.incarnation, &member.node))
            .fold(0, |digest, hash| digest ^ hash)
    }

    /// Returns at most `count` probe targets of this node; each `salt` selects others.
    fn sample_targets(&self, count: usize, salt: u64) -> Vec<PeerTarget> {
        let mut targets: Vec<_> = self
            .targets
            .iter()
            .filter_map(|node| self.members.get(node))
            .map(|entry| (hash_text(salt, &entry.update.node), entry))
            .collect();
        targets.sort_unstable_by_key(|(hash, _)| *hash);
        targets.into_iter().take(count).map(|(_, entry)| entry.target()).collect()
    }

    /// Returns at most `count` other live members; each `salt` selects others.
    pub(super) fn sample_live(&self, count: usize, salt: u64) -> Vec<PeerTarget> {
        let mut targets: Vec<_> = self
            .members
            .values()
            .filter(|entry| entry.update.is_live())
            .map(|entry| (hash_text(salt, &entry.update.node), entry))
            .collect();
        targets.sort_unstable_by_key(|(hash, _)| *hash);
        targets.into_iter().take(count).map(|(_, entry)| entry.target()).collect()
    }
}

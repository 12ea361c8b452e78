//! Failure detector: selects probe targets, and suspects members that do not respond.

use std::sync::Arc;
use std::time::Duration;

use super::MemberAction;
use super::MemberTable;
use super::OwnStatus;
use super::PeerTarget;
use super::entry::ProbeAttempt;
use super::entry::ProbeRelay;
use crate::membership::MemberState;
use crate::membership::MemberUpdate;
use crate::membership::ProbeKind;
use crate::membership::ProbeMessage;
use crate::membership::probe_ring::probe_targets;
use crate::membership::update_queue::send_limit;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Largest number of queued updates that are piggybacked on one message.
const MAX_UPDATES: usize = 6;

/// Largest number of indirect probes that this node performs concurrently for others.
const MAX_RELAYS: usize = 64;

/// Largest number of members that a node pings when it resumes after a pause.
const RESUME_FANOUT: usize = 3;

/// Time between two ticks up to which timers are not shifted.
const TICK_SLACK: Duration = Duration::from_millis(250);

impl MemberTable {
    /// Advances timers to `now`; to be called several times in each probe period.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<MemberAction> {
        let elapsed = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if matches!(self.status, OwnStatus::Leaving) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if elapsed > self.settings.pause_limit {
            self.resume_after_pause(now, elapsed, &mut actions);
        } else if elapsed > TICK_SLACK {
            self.shift_timers(elapsed);
        }
        self.expire_suspects(now, &mut actions);
        self.advance_probe(now, &mut actions);
        let is_hint_due = self.unreachable_hint.is_some() && self.probe.is_none();
        if now >= self.next_period || is_hint_due {
            self.next_period = now + self.settings.probe_period;
            self.start_period(now, &mut actions);
        }
        self.confirm_if_alone(now, &mut actions);
        actions
    }

    /// Records that the receiver of the ping `sequence` is unreachable, and probes it indirectly.
    pub fn probe_failed(&mut self, sequence: u64, now: MonotonicTime) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        if let Some(probe) = &mut self.probe
            && probe.sequence == sequence
            && !probe.is_indirect
        {
            probe.started = now.saturating_sub(self.settings.probe_timeout);
            self.advance_probe(now, &mut actions);
        }
        actions
    }

    /// Handles a pause of length `paused`: requires a new confirmation, and pings some members.
    fn resume_after_pause(
        &mut self,
        now: MonotonicTime,
        paused: Duration,
        actions: &mut Vec<MemberAction>,
    ) {
        self.digest ^= self.own_hash();
        self.own.incarnation += 1;
        self.digest ^= self.own_hash();
        self.status = OwnStatus::Unconfirmed { since: now };
        self.first_confirming_sequence = self.next_sequence;
        self.probe = None;
        self.relays.clear();
        // No state counts as older than one second, so that suspects have time to refute.
        for entry in self.members.values_mut() {
            entry.state_since = entry.state_since.max(now.saturating_sub(Duration::from_secs(1)));
        }
        actions.push(MemberAction::Resumed { paused });
        for to in self.sample_live(RESUME_FANOUT, self.round) {
            actions.push(self.ping(to));
        }
    }

    /// Extends the running timers by the time in which this node received nothing.
    fn shift_timers(&mut self, elapsed: Duration) {
        if let Some(probe) = &mut self.probe {
            probe.started += elapsed;
        }
        for entry in self.members.values_mut() {
            if entry.update.state == MemberState::Suspect {
                entry.state_since += elapsed;
            }
        }
    }

    /// Declares members left that did not refute a suspicion in time.
    fn expire_suspects(&mut self, now: MonotonicTime, actions: &mut Vec<MemberAction>) {
        let limit = self.settings.suspicion_timeout(self.members.len() + 1);
        let expired: Vec<_> = self
            .members
            .values()
            .filter(|entry| entry.update.state == MemberState::Suspect)
            .filter(|entry| now.saturating_sub(entry.state_since) >= limit)
            .map(|entry| MemberUpdate { state: MemberState::Left, ..entry.update.clone() })
            .collect();
        for update in expired {
            self.apply_update(update, now, actions);
        }
    }

    /// Turns the present probe into an indirect one, or suspects its target, after a timeout.
    fn advance_probe(&mut self, now: MonotonicTime, actions: &mut Vec<MemberAction>) {
        self.relays
            .retain(|_, relay| now.saturating_sub(relay.started) < self.settings.probe_period);
        let Some(probe) = self.probe.clone() else {
            return;
        };
        let waited = now.saturating_sub(probe.started);
        if probe.is_indirect && waited >= self.settings.probe_timeout * 2 {
            self.probe = None;
            self.suspect(&probe.target, now, actions);
        } else if !probe.is_indirect && waited >= self.settings.probe_timeout {
            self.probe = Some(ProbeAttempt { is_indirect: true, ..probe.clone() });
            self.probe_indirectly(&probe, actions);
        }
    }

    /// Marks an alive member as suspect.
    fn suspect(&mut self, node: &NodeId, now: MonotonicTime, actions: &mut Vec<MemberAction>) {
        if let Some(entry) = self.members.get(node)
            && entry.update.state == MemberState::Alive
        {
            let update = MemberUpdate { state: MemberState::Suspect, ..entry.update.clone() };
            self.apply_update(update, now, actions);
        }
    }

    /// Requests that other members ping the target of a probe that was not acknowledged.
    fn probe_indirectly(&mut self, probe: &ProbeAttempt, actions: &mut Vec<MemberAction>) {
        let Some(address) = self.members.get(&probe.target).map(|entry| entry.update.address)
        else {
            return;
        };
        let intermediaries = self.sample_live(self.settings.indirect_probes + 1, probe.sequence);
        let intermediaries =
            intermediaries.into_iter().filter(|member| member.node != probe.target);
        for to in intermediaries.take(self.settings.indirect_probes) {
            let mut message = self.message(ProbeKind::IndirectPing, probe.sequence, &to.node);
            message.target = probe.target.clone();
            message.target_address = Some(address);
            actions.push(MemberAction::Send { to, message: Box::new(message) });
        }
    }

    /// Starts a probe period: probes the hinted or the next target, and retries absent members.
    fn start_period(&mut self, now: MonotonicTime, actions: &mut Vec<MemberAction>) {
        self.round += 1;
        self.remove_expired(now);
        if self.targets_stale {
            self.targets_stale = false;
            let live: Vec<_> = self.live().map(|member| member.node.clone()).collect();
            self.targets = probe_targets(&self.own.node, &live, self.settings.probe_degree);
        }
        if self.targets.is_empty() || self.round.is_multiple_of(self.settings.rejoin_rounds) {
            self.ping_absent(actions);
        }
        if self.probe.is_some() || self.targets.is_empty() {
            return;
        }
        let index = (self.round % self.targets.len() as u64) as usize;
        let unreachable_hint = self.unreachable_hint.take().filter(|node| self.is_live(node));
        let target = unreachable_hint.unwrap_or_else(|| self.targets[index].clone());
        if let Some(to) = self.members.get(&target).map(|entry| entry.target()) {
            let sequence = self.next_sequence;
            self.probe = Some(ProbeAttempt { sequence, target, started: now, is_indirect: false });
            actions.push(self.ping(to));
        }
    }

    /// Pings one member that left, and one address that no live member has.
    fn ping_absent(&mut self, actions: &mut Vec<MemberAction>) {
        let rotation = (self.round / self.settings.rejoin_rounds.max(1)) as usize
            + if self.targets.is_empty() { self.round as usize } else { 0 };
        let live: Vec<_> = self.live().map(|member| member.address).collect();
        let seeds: Vec<_> =
            self.seeds.iter().filter(|seed| !live.contains(&seed.address)).collect();
        if !seeds.is_empty() {
            let address = seeds[rotation % seeds.len()].address;
            actions.push(self.ping(PeerTarget { node: Arc::from(""), address }));
        }
        let left_members: Vec<_> =
            self.members.values().filter(|entry| !entry.update.is_live()).collect();
        if !left_members.is_empty() {
            let to = left_members[rotation % left_members.len()].target();
            actions.push(self.ping(to));
        }
    }

    /// Removes members that left longer ago than the table keeps them.
    fn remove_expired(&mut self, now: MonotonicTime) {
        let limit = self.settings.forget_after;
        self.members.retain(|_, entry| {
            entry.update.is_live() || now.saturating_sub(entry.state_since) < limit
        });
    }

    /// Confirms a node that has no live peer to acknowledge it.
    fn confirm_if_alone(&mut self, now: MonotonicTime, actions: &mut Vec<MemberAction>) {
        let OwnStatus::Unconfirmed { since } = self.status else {
            return;
        };
        let is_alone = !self.members.values().any(|entry| entry.update.is_live());
        let waited = now.saturating_sub(since);
        if is_alone && (self.seeds.is_empty() || waited >= self.settings.join_timeout) {
            self.confirm(actions);
        }
    }

    /// Marks this node as confirmed.
    pub(super) fn confirm(&mut self, actions: &mut Vec<MemberAction>) {
        self.status = OwnStatus::Confirmed;
        actions.push(MemberAction::Confirmed);
    }

    /// Starts the indirect probe that the sender of `message` requested.
    ///
    /// Returns none if the request has no address or too many indirect probes are in flight.
    pub(super) fn start_relay(
        &mut self,
        message: &ProbeMessage,
        now: MonotonicTime,
    ) -> Option<MemberAction> {
        let address = message.target_address?;
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let origin =
            PeerTarget { node: message.sender.node.clone(), address: message.sender.address };
        let relay = ProbeRelay {
            origin,
            origin_sequence: message.sequence,
            target: message.target.clone(),
            started: now,
        };
        self.relays.insert(self.next_sequence, relay);
        Some(self.ping(PeerTarget { node: message.target.clone(), address }))
    }

    /// Creates a ping with the next sequence number.
    pub(super) fn ping(&mut self, to: PeerTarget) -> MemberAction {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let message = self.message(ProbeKind::Ping, sequence, &to.node);
        MemberAction::Send { to, message: Box::new(message) }
    }

    /// Creates a message that announces that this node leaves.
    pub(super) fn leave_message(&mut self, to: PeerTarget) -> MemberAction {
        let message = self.message(ProbeKind::Leave, 0, &to.node);
        MemberAction::Send { to, message: Box::new(message) }
    }

    /// Builds a message to `receiver`; a suspicion that it may have to refute comes first.
    pub(super) fn message(
        &mut self,
        kind: ProbeKind,
        sequence: u64,
        receiver: &NodeId,
    ) -> ProbeMessage {
        let mut updates: Vec<_> = self
            .members
            .get(receiver)
            .filter(|entry| entry.update.state != MemberState::Alive)
            .map(|entry| entry.update.clone())
            .into_iter()
            .collect();
        let limit = send_limit(self.members.len());
        let others = self.queue.next_batch(MAX_UPDATES, limit);
        updates.extend(others.into_iter().filter(|item| item.node != *receiver));
        let mut summary = self.summary.clone();
        summary.digest = self.digest;
        summary.drain_digest = self.drains.digest();
        ProbeMessage {
            kind,
            sequence,
            sender: self.own.clone(),
            target: Arc::from(""),
            target_address: None,
            summary,
            updates,
            notices: self.drains.next_batch(self.members.len()),
        }
    }
}

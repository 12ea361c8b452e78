//! Handling of received messages, and refutation of wrong claims about this node.

use super::MemberAction;
use super::MemberTable;
use super::OwnStatus;
use super::PeerTarget;
use super::entry::MemberEntry;
use crate::membership::MemberState;
use crate::membership::MemberUpdate;
use crate::membership::ProbeKind;
use crate::membership::ProbeMessage;
use crate::membership::hash::hash_text;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Consecutive messages with another digest after which the whole table is pulled.
const MISMATCH_LIMIT: u32 = 8;

impl MemberTable {
    /// Handles a probe message.
    ///
    /// A [`MemberAction::Send`] to its sender may be sent in the response.
    pub fn receive(&mut self, message: &ProbeMessage, now: MonotonicTime) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        let is_stale = self
            .latest_update(&message.sender.node)
            .is_some_and(|known| known.incarnation > message.sender.incarnation);
        if message.sender.node == self.own.node {
            return actions;
        }
        if is_stale && message.kind == ProbeKind::Leave {
            return actions;
        }
        self.apply_update(message.sender.clone(), now, &mut actions);
        for update in &message.updates {
            self.apply_update(update.clone(), now, &mut actions);
        }
        self.handle_message(message, now, &mut actions);
        self.compare_digest(message, now, &mut actions);
        actions
    }

    /// Applies the updates of a peer's member snapshot.
    ///
    /// Updates about unknown members are not queued for sending, because other nodes have already
    /// sent them to the peer.
    pub fn merge(&mut self, updates: &[MemberUpdate], now: MonotonicTime) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        self.digest_mismatches = 0;
        for update in updates {
            self.apply_update(update.clone(), now, &mut actions);
        }
        for action in &actions {
            if let MemberAction::Changed { update, previous: None } = action {
                self.queue.remove(&update.node);
            }
        }
        actions
    }

    /// Responds to a message according to its kind.
    fn handle_message(
        &mut self,
        message: &ProbeMessage,
        now: MonotonicTime,
        actions: &mut Vec<MemberAction>,
    ) {
        let sender =
            PeerTarget { node: message.sender.node.clone(), address: message.sender.address };
        match message.kind {
            ProbeKind::Ping => {
                let ack = self.message(ProbeKind::Ack, message.sequence, &sender.node);
                actions.push(MemberAction::Send { to: sender, message: Box::new(ack) });
            },
            ProbeKind::IndirectPing => actions.extend(self.start_relay(message, now)),
            ProbeKind::Ack => self.handle_ack(message, now, actions),
            ProbeKind::Leave => {},
        }
    }

    /// Handles an acknowledgement: ends the probe, relays it, and confirms this node if it waits.
    fn handle_ack(
        &mut self,
        message: &ProbeMessage,
        now: MonotonicTime,
        actions: &mut Vec<MemberAction>,
    ) {
        let is_relayed = !message.target.is_empty();
        let acked_node = match is_relayed {
            true => &message.target,
            false => &message.sender.node,
        };
        if let Some(probe) = &self.probe
            && probe.sequence == message.sequence
            && probe.target == *acked_node
        {
            self.probe = None;
        }
        if is_relayed {
            return;
        }
        if let Some(entry) = self.members.get_mut(acked_node) {
            entry.last_ack = Some(now);
        }
        self.relay_ack(message, actions);
        if matches!(self.status, OwnStatus::Unconfirmed { .. })
            && message.sequence >= self.first_confirming_sequence
            && message.sequence < self.next_sequence
        {
            self.confirm(actions);
            let from =
                PeerTarget { node: message.sender.node.clone(), address: message.sender.address };
            self.last_sync = Some(now);
            actions.push(MemberAction::PullMembers { from });
        }
    }

    /// Relays an acknowledgement to the member that requested the indirect probe.
    fn relay_ack(&mut self, message: &ProbeMessage, actions: &mut Vec<MemberAction>) {
        let has_relay = self
            .relays
            .get(&message.sequence)
            .is_some_and(|relay| relay.target == message.sender.node);
        if !has_relay {
            return;
        }
        if let Some(relay) = self.relays.remove(&message.sequence) {
            let mut ack = self.message(ProbeKind::Ack, relay.origin_sequence, &relay.origin.node);
            ack.target = relay.target;
            ack.updates.insert(0, message.sender.clone());
            actions.push(MemberAction::Send { to: relay.origin, message: Box::new(ack) });
        }
    }

    /// Applies an update about one member, and queues it for sending if it is new.
    pub(super) fn apply_update(
        &mut self,
        update: MemberUpdate,
        now: MonotonicTime,
        actions: &mut Vec<MemberAction>,
    ) {
        if update.node == self.own.node {
            self.refute(&update, actions);
            return;
        }
        let known = self.members.get(&update.node);
        let is_newer = match known {
            Some(entry) => update.supersedes(&entry.update),
            None => update.is_live(),
        };
        if !is_newer {
            return;
        }
        let previous = known.map(|entry| entry.update.state);
        let last_ack = known.and_then(|entry| entry.last_ack);
        if let Some(entry) = known.filter(|entry| entry.update.is_live()) {
            self.digest ^= hash_text(entry.update.incarnation, &entry.update.node);
        }
        if update.is_live() {
            self.digest ^= hash_text(update.incarnation, &update.node);
        }
        let was_live = previous.is_some_and(|state| state != MemberState::Left);
        self.targets_stale |= was_live != update.is_live();
        self.queue.push(update.node.clone(), update.clone());
        let entry = MemberEntry { update: update.clone(), state_since: now, last_ack };
        self.members.insert(update.node.clone(), entry);
        actions.push(MemberAction::Changed { update, previous });
    }

    /// Refutes a wrong update about this node by increasing its own incarnation.
    fn refute(&mut self, update: &MemberUpdate, actions: &mut Vec<MemberAction>) {
        if matches!(self.status, OwnStatus::Leaving) {
            return;
        }
        let is_wrong = match update.state {
            MemberState::Alive => update.incarnation > self.own.incarnation,
            MemberState::Suspect | MemberState::Left => update.incarnation >= self.own.incarnation,
        };
        if !is_wrong {
            return;
        }
        self.digest ^= self.own_hash();
        self.own.incarnation = update.incarnation + 1;
        self.digest ^= self.own_hash();
        self.queue.push(self.own.node.clone(), self.own.clone());
        actions
            .push(MemberAction::Refuted { state: update.state, incarnation: self.own.incarnation });
    }

    /// Pulls the whole table of a peer after [`MISMATCH_LIMIT`] messages with another digest.
    fn compare_digest(
        &mut self,
        message: &ProbeMessage,
        now: MonotonicTime,
        actions: &mut Vec<MemberAction>,
    ) {
        if message.summary.digest == self.digest {
            self.digest_mismatches = 0;
            return;
        }
        self.digest_mismatches += 1;
        let is_due = self.last_sync.is_none_or(|last| {
            now.saturating_sub(last) >= self.settings.sync_interval_for(self.members.len())
        });
        if self.digest_mismatches >= MISMATCH_LIMIT && is_due {
            self.digest_mismatches = 0;
            self.last_sync = Some(now);
            let node: NodeId = message.sender.node.clone();
            let from = PeerTarget { node, address: message.sender.address };
            actions.push(MemberAction::PullMembers { from });
        }
    }

    /// Returns the share of this node in the digest.
    pub(super) fn own_hash(&self) -> u64 {
        hash_text(self.own.incarnation, &self.own.node)
    }
}

//! Simulated fleet: nodes, the messages in flight between them, and a fake key-value service.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::membership::ClusterAction;
use apricotknot_core::membership::ClusterState;
use apricotknot_core::membership::ConfigurationBatch;
use apricotknot_core::membership::EpochAction;
use apricotknot_core::membership::MemberSettings;
use apricotknot_core::membership::MemberSnapshot;
use apricotknot_core::membership::MemberState;
use apricotknot_core::membership::MemberUpdate;
use apricotknot_core::membership::PeerAddress;
use apricotknot_core::membership::ProbeMessage;
use apricotknot_core::types::NodeId;

use crate::oracle::NodeOracle;
use crate::store::FakeStore;

/// Time between two ticks of the fleet.
pub(crate) const TICK: Duration = Duration::from_millis(100);

/// Port of the first node; each further node uses the next port.
const FIRST_PORT: u16 = 7_000;

/// Content of a message from one node to another.
#[derive(Clone)]
pub(crate) enum Payload {
    Probe(Box<ProbeMessage>),
    PullMembers,
    Members(Box<MemberSnapshot>),
    PullBatch(u64),
    Batch(Box<ConfigurationBatch>),
}

#[derive(Clone)]
pub(crate) struct Envelope {
    arrives: Duration,
    from: usize,
    to: usize,
    payload: Payload,
}

pub(crate) struct SimulatedNode {
    pub(crate) state: ClusterState,
    pub(crate) oracle: NodeOracle,
    pub(crate) paused_at: Duration,
    pub(crate) paused_until: Duration,
    /// Offset of the node's own clock from the clock of the fleet.
    pub(crate) clock_offset: Duration,
    pub(crate) starts: u64,
}

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) nodes: Vec<SimulatedNode>,
    pub(crate) in_flight: Vec<Envelope>,
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    pub(crate) store: FakeStore,
    pub(crate) loss_percent: u64,
    pub(crate) duplicate_percent: u64,
    pub(crate) max_delay_ms: u64,
    pub(crate) lost_answer_percent: u64,
    /// Newest revision that each node ever had in force.
    pub(crate) newest_revisions: Vec<u64>,
    random: u64,
}

pub(crate) fn address(index: usize) -> PeerAddress {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index as u16))
}

pub(crate) fn node_id(index: usize) -> NodeId {
    Arc::from(format!("node-{index}"))
}

fn new_state(index: usize, starts: u64, size: usize, now: Duration) -> ClusterState {
    let own = MemberUpdate {
        node: node_id(index),
        incarnation: starts * 1_000,
        state: MemberState::Alive,
        address: address(index),
        data_centre: Arc::from("dc"),
    };
    // The settings of every node list the first three nodes.
    let seeds = (0..size.min(3)).map(address).collect();
    ClusterState::new(MemberSettings::default(), own, seeds, now)
}

impl Fleet {
    pub(crate) fn new(size: usize, random: u64) -> Self {
        let start = |index: usize| {
            let clock_offset = Duration::from_secs(index as u64 * 1_000);
            SimulatedNode {
                state: new_state(index, 1, size, clock_offset),
                oracle: NodeOracle::default(),
                paused_at: Duration::ZERO,
                paused_until: Duration::ZERO,
                clock_offset,
                starts: 1,
            }
        };
        Self {
            now: Duration::ZERO,
            nodes: (0..size).map(start).collect(),
            in_flight: Vec::new(),
            cut_links: BTreeSet::new(),
            store: FakeStore::default(),
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay_ms: 20,
            lost_answer_percent: 0,
            newest_revisions: vec![0; size],
            random: random | 1,
        }
    }

    pub(crate) fn random(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below.max(1)
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.random(100) < percent
    }

    pub(crate) fn advance_secs(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            self.step();
        }
    }

    /// Advances the fleet by one tick, and checks its invariants.
    pub(crate) fn step(&mut self) {
        self.now += TICK;
        self.deliver_due();
        for index in 0..self.nodes.len() {
            if self.nodes[index].paused_until > self.now {
                continue;
            }
            self.check_resumed(index);
            let now = self.clock(index);
            let actions = self.nodes[index].state.tick(now);
            self.perform(index, actions);
            self.poll_store(index);
        }
        self.check_step();
    }

    /// Restarts the process of a node without any of its state.
    pub(crate) fn restart(&mut self, index: usize) {
        let (size, now) = (self.nodes.len(), self.clock(index));
        let node = &mut self.nodes[index];
        node.starts += 1;
        node.state = new_state(index, node.starts, size, now);
        node.oracle = NodeOracle::default();
        node.paused_at = Duration::ZERO;
        node.paused_until = Duration::ZERO;
        self.in_flight.retain(|envelope| envelope.to != index);
    }

    /// Ends all faults, and gives the fleet 90 seconds to converge.
    pub(crate) fn heal(&mut self) {
        self.cut_links.clear();
        self.loss_percent = 0;
        self.duplicate_percent = 0;
        self.lost_answer_percent = 0;
        self.max_delay_ms = 20;
        self.store.is_down = false;
        for node in &mut self.nodes {
            node.paused_until = node.paused_until.min(self.now);
        }
        self.advance_secs(90);
    }

    pub(crate) fn clock(&self, index: usize) -> Duration {
        self.nodes[index].clock_offset + self.now
    }

    fn deliver_due(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|envelope| envelope.arrives <= self.now);
        self.in_flight = later;
        for envelope in due {
            let paused_until = self.nodes[envelope.to].paused_until;
            if paused_until > self.now {
                self.in_flight.push(Envelope { arrives: paused_until, ..envelope });
                continue;
            }
            self.check_resumed(envelope.to);
            self.deliver(envelope);
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, payload, .. } = envelope;
        let now = self.clock(to);
        let peer = node_id(from);
        let state = &mut self.nodes[to].state;
        let actions = match payload {
            Payload::Probe(message) => state.receive_probe(&message, now),
            Payload::Members(snapshot) => state.receive_snapshot(&snapshot, now),
            Payload::Batch(batch) => state.receive_batch(&peer, &batch, now),
            Payload::PullMembers => {
                let snapshot = state.snapshot();
                return self.send(to, from, Payload::Members(Box::new(snapshot)));
            },
            Payload::PullBatch(since) => {
                let batch = state.batch(since);
                return self.send(to, from, Payload::Batch(Box::new(batch)));
            },
        };
        self.perform(to, actions);
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, payload: Payload) {
        if to >= self.nodes.len() || self.cut_links.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.duplicate_percent));
        for _ in 0..copies {
            if self.chance(self.loss_percent) {
                continue;
            }
            let delay = self.random(self.max_delay_ms);
            let arrives = self.now + Duration::from_millis(delay);
            self.in_flight.push(Envelope { arrives, from, to, payload: payload.clone() });
        }
    }

    pub(crate) fn perform(&mut self, index: usize, actions: Vec<ClusterAction>) {
        for action in actions {
            self.nodes[index].oracle.check_action(&action, &self.store);
            let to = |address: PeerAddress| usize::from(address.port() - FIRST_PORT);
            match action {
                ClusterAction::Probe { to: peer, message } => {
                    self.send(index, to(peer.address), Payload::Probe(message));
                },
                ClusterAction::PullMembers { from } => {
                    self.send(index, to(from.address), Payload::PullMembers);
                },
                ClusterAction::PullConfiguration { from, since } => {
                    self.send(index, to(from.address), Payload::PullBatch(since));
                },
                ClusterAction::List(call) => self.call_list(index, &call),
                ClusterAction::Lease(_) => self.call_lease(index),
                _ => {},
            }
        }
    }

    fn call_list(&mut self, index: usize, call: &EpochAction) {
        let now = self.clock(index);
        let is_lost = self.chance(self.lost_answer_percent);
        let is_down = self.store.is_down;
        let written = match call {
            EpochAction::WriteList { list, expected } if !is_down => {
                Some(self.store.write_list(list, *expected))
            },
            _ => None,
        };
        let state = &mut self.nodes[index].state;
        if is_down || is_lost {
            state.list_failed(now);
            return;
        }
        let actions = match written {
            None => state.list_read(&self.store.stored_list(self.now), now),
            Some(true) => state.list_written(),
            Some(false) => state.list_conflicted(now),
        };
        self.perform(index, actions);
    }

    fn call_lease(&mut self, index: usize) {
        if self.store.is_down {
            self.nodes[index].state.lease_failed();
            return;
        }
        let until = self.now + Duration::from_secs(30);
        self.store.leases.insert(node_id(index), until);
        self.nodes[index].state.lease_renewed();
    }

    /// Lets a node that watches the service read new writes from it.
    fn poll_store(&mut self, index: usize) {
        let state = &mut self.nodes[index].state;
        if self.store.is_down || !state.is_watcher() {
            return;
        }
        let batch = self.store.writes_after(state.replicator().table().revision());
        if !batch.records.is_empty() {
            let result = state.apply_writes(&batch);
            assert!(result.is_ok(), "the writes of the service apply without a gap");
            self.perform(index, result.unwrap_or_default());
        }
    }
}

//! Simulates fleets of several sizes, and prints how fast updates spread and what they cost.
//!
//! Messages take one to five milliseconds, and some are lost. Times are of the simulated clock;
//! processor time is that of the state machines alone.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use apricotknot_core::membership::ClusterAction;
use apricotknot_core::membership::ClusterState;
use apricotknot_core::membership::ConfigurationRecord;
use apricotknot_core::membership::DrainSubject;
use apricotknot_core::membership::EpochAction;
use apricotknot_core::membership::MemberSettings;
use apricotknot_core::membership::MemberState;
use apricotknot_core::membership::MemberUpdate;
use apricotknot_core::membership::PeerAddress;
use apricotknot_core::membership::ProbeMessage;
use apricotknot_core::membership::StoredList;
use apricotknot_core::types::NodeId;

/// Number of nodes in each run; the last is the size that the design targets.
const SIZES: [usize; 6] = [8, 32, 100, 200, 400, 810];

/// Share of messages that are lost, in per cent.
const LOSS_PERCENT: u64 = 1;

/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(100);

/// Time for the nodes to join, and length of the measurement that follows.
const WARM_UP: Duration = Duration::from_secs(60);

/// Longest time to wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(120);

enum Payload {
    Probe(Box<ProbeMessage>),
    PullMembers,
    PullBatch(u64),
}

struct Fleet {
    now: Duration,
    nodes: Vec<Option<ClusterState>>,
    queue: BinaryHeap<Reverse<(Duration, usize)>>,
    in_flight: Vec<Option<(usize, usize, Payload)>>,
    stored: StoredList,
    random: u64,
    probes: u64,
    snapshots: u64,
    compute_time: Duration,
}

fn address(index: usize) -> PeerAddress {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000))
}

fn index_of(address: PeerAddress) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => 0,
    }
}

impl Fleet {
    fn new(size: usize) -> Self {
        let start = |index: usize| {
            let own = MemberUpdate {
                node: NodeId::from(format!("node-{index}")),
                incarnation: 1,
                state: MemberState::Alive,
                address: address(index),
                data_centre: Arc::from(format!("dc-{}", index % 10)),
            };
            let seeds = (0..size.min(4)).map(address).collect();
            Some(ClusterState::new(MemberSettings::default(), own, seeds, Duration::ZERO))
        };
        Self {
            now: Duration::ZERO,
            nodes: (0..size).map(start).collect(),
            queue: BinaryHeap::new(),
            in_flight: Vec::new(),
            stored: StoredList::default(),
            random: 88_172_645_463_325_252,
            probes: 0,
            snapshots: 0,
            compute_time: Duration::ZERO,
        }
    }

    fn random(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn send(&mut self, from: usize, to: usize, payload: Payload) {
        if self.random(100) < LOSS_PERCENT {
            return;
        }
        let arrives = self.now + Duration::from_micros(1_000 + self.random(4_000));
        self.queue.push(Reverse((arrives, self.in_flight.len())));
        self.in_flight.push(Some((from, to, payload)));
    }

    fn perform(&mut self, index: usize, actions: Vec<ClusterAction>) {
        for action in actions {
            match action {
                ClusterAction::Probe { to, message } => {
                    self.probes += 1;
                    self.send(index, index_of(to.address), Payload::Probe(message));
                },
                ClusterAction::PullMembers { from } => {
                    self.snapshots += 1;
                    self.send(index, index_of(from.address), Payload::PullMembers);
                },
                ClusterAction::PullConfiguration { from, since } => {
                    self.send(index, index_of(from.address), Payload::PullBatch(since));
                },
                ClusterAction::List(call) => self.call_list(index, call),
                _ => {},
            }
        }
    }

    fn call_list(&mut self, index: usize, call: EpochAction) {
        let (now, Some(state)) = (self.now, &mut self.nodes[index]) else {
            return;
        };
        let actions = match call {
            EpochAction::WriteList { list, expected } if expected == self.stored.revision => {
                self.stored.list = Some(list);
                self.stored.revision += 1;
                state.list_written()
            },
            EpochAction::WriteList { .. } => state.list_conflicted(now),
            EpochAction::ReadList | EpochAction::Adopt { .. } => state.list_read(&self.stored, now),
        };
        self.perform(index, actions);
    }

    fn deliver(&mut self, from: usize, to: usize, payload: &Payload) {
        let now = self.now;
        let started = Instant::now();
        let actions = match payload {
            Payload::Probe(message) => match &mut self.nodes[to] {
                Some(state) => state.receive_probe(message, now),
                None => return,
            },
            Payload::PullMembers | Payload::PullBatch(_) => {
                let Some(source) = &self.nodes[to] else {
                    return;
                };
                let peer = source.table().own().node.clone();
                match payload {
                    Payload::PullBatch(since) => {
                        let batch = source.batch(*since);
                        let requester = self.nodes[from].as_mut();
                        requester.map(|state| state.receive_batch(&peer, &batch, now))
                    },
                    _ => {
                        let snapshot = source.snapshot();
                        let requester = self.nodes[from].as_mut();
                        requester.map(|state| state.receive_snapshot(&snapshot, now))
                    },
                }
                .unwrap_or_default()
            },
        };
        self.compute_time += started.elapsed();
        let receiver = if matches!(payload, Payload::Probe(_)) { to } else { from };
        self.perform(receiver, actions);
    }

    fn step(&mut self) {
        let end = self.now + TICK;
        for index in 0..self.nodes.len() {
            // The nodes tick at evenly spaced moments.
            self.now = end - TICK + TICK.mul_f64(index as f64 / self.nodes.len() as f64);
            self.deliver_due();
            let (now, started) = (self.now, Instant::now());
            let actions = self.nodes[index].as_mut().map(|state| state.tick(now));
            self.compute_time += started.elapsed();
            self.perform(index, actions.unwrap_or_default());
        }
        self.now = end;
    }

    fn deliver_due(&mut self) {
        while let Some(Reverse((arrives, _))) = self.queue.peek()
            && *arrives <= self.now
        {
            let Some(Reverse((_, slot))) = self.queue.pop() else {
                return;
            };
            if let Some((from, to, payload)) = self.in_flight[slot].take() {
                self.deliver(from, to, &payload);
            }
        }
        if self.queue.is_empty() {
            self.in_flight.clear();
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Returns the time in seconds until `is_done` holds, at most [`WAIT_LIMIT`].
    fn time_until(&mut self, is_done: impl Fn(&Self) -> bool) -> f64 {
        let start = self.now;
        while !is_done(self) && self.now - start < WAIT_LIMIT {
            self.step();
        }
        (self.now - start).as_secs_f64()
    }

    fn command(
        &mut self,
        index: usize,
        change: impl FnOnce(&mut ClusterState) -> Vec<ClusterAction>,
    ) {
        let actions = self.nodes[index].as_mut().map(change).unwrap_or_default();
        self.perform(index, actions);
    }

    fn all(&self, holds: impl Fn(&ClusterState) -> bool) -> bool {
        self.nodes.iter().flatten().all(holds)
    }
}

fn measure(size: usize) {
    let mut fleet = Fleet::new(size);
    let joined =
        fleet.time_until(|fleet| fleet.all(|state| state.member_list().members.len() == size));
    fleet.run_for(WARM_UP);
    let (probes, snapshots, compute_time, start) =
        (fleet.probes, fleet.snapshots, fleet.compute_time, fleet.now);
    fleet.run_for(WARM_UP);
    let node_seconds = (fleet.now - start).as_secs_f64() * size as f64;
    let rate = (fleet.probes - probes) as f64 / node_seconds;
    let pulls = (fleet.snapshots - snapshots) as f64 / node_seconds;
    let core = (fleet.compute_time - compute_time).as_secs_f64() * 100.0 / node_seconds;
    let key = Arc::from("account/office");
    let record = ConfigurationRecord { key, revision: 1, body: Arc::from("{}") };
    fleet.command(0, |state| {
        state.load_configuration(1, std::slice::from_ref(&record)).unwrap_or_default()
    });
    let in_force =
        fleet.time_until(|fleet| fleet.all(|state| state.replicator().table().revision() == 1));
    let reported =
        in_force + fleet.time_until(|fleet| fleet.all(|state| state.coverage().in_force == size));
    fleet.command(1, |state| state.drain(DrainSubject::DataCentre, "dc-1", true));
    let drained =
        fleet.time_until(|fleet| fleet.all(|state| state.drains().notices().next().is_some()));
    fleet.nodes[size - 1] = None;
    let stopped = NodeId::from(format!("node-{}", size - 1));
    let detected = fleet.time_until(|fleet| fleet.all(|state| !state.table().is_live(&stopped)));
    println!(
        "| {size} | {joined:.1} | {rate:.2} | {pulls:.4} | {core:.4} | {in_force:.1} | \
         {reported:.1} | {drained:.1} | {detected:.1} |"
    );
}

fn main() {
    println!("loss {LOSS_PERCENT}%, delay 1 to 5 ms, tick {} ms", TICK.as_millis());
    println!(
        "| nodes | joined s | messages/s | table pulls/s | core % | in force s | reported s | \
         drained s | crash detected s |"
    );
    println!("|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
    for size in SIZES {
        measure(size);
    }
}

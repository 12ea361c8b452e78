//! Plays of load snapshots that travel through fleets of different sizes, without a network.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::RelayedSnapshot;
use apricotknot_core::types::NodeId;
use apricotknot_gateway::clock::millis;
use apricotknot_gateway::peers::SnapshotPeer;
use apricotknot_gateway::peers::SnapshotRouter;
use apricotknot_gateway::peers::decode_snapshot;

/// Step of the play.
const STEP: Duration = Duration::from_millis(10);

/// Interval at which each node changes its work.
const CHANGE_INTERVAL: Duration = Duration::from_millis(70);

/// Age of a snapshot beyond which a node counts as unheard; the state then ignores its work.
const MAX_AGE: Duration = Duration::from_millis(2_500);

/// Port of the first node.
const FIRST_PORT: u16 = 10_000;

struct PlayedNode {
    name: NodeId,
    router: SnapshotRouter,
    is_alive: bool,
    sent_at: Duration,
    sequence: u64,
    datagrams: usize,
    /// Time at which the latest known snapshot of each other node was made.
    known: BTreeMap<NodeId, Duration>,
}

struct PlayedFleet {
    nodes: Vec<PlayedNode>,
    /// Datagrams that arrive in the next step.
    in_transit: Vec<(usize, LoadSnapshot)>,
    now: Duration,
    dropped_in: usize,
    sent: usize,
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], FIRST_PORT + index as u16).into()
}

impl PlayedFleet {
    #[allow(clippy::expect_used, reason = "test helpers may panic")]
    fn new(count: usize, data_centres: usize) -> Self {
        let peers: Vec<SnapshotPeer> = (0..count)
            .map(|index| SnapshotPeer {
                node: format!("node-{index:03}").into(),
                address: address(index),
                data_centre: Some(format!("centre-{}", index % data_centres).into()),
            })
            .collect();
        let nodes = peers.iter().map(|own| {
            let centre = own.data_centre.clone().expect("a data centre");
            let mut router = SnapshotRouter::new(&own.node, centre);
            router.set_peers(peers.iter().filter(|peer| peer.node != own.node).cloned());
            PlayedNode {
                name: own.node.clone(),
                router,
                is_alive: true,
                sent_at: Duration::ZERO,
                sequence: 0,
                datagrams: 0,
                known: BTreeMap::new(),
            }
        });
        Self {
            nodes: nodes.collect(),
            in_transit: Vec::new(),
            now: Duration::from_secs(1),
            dropped_in: usize::MAX,
            sent: 0,
        }
    }

    fn send(&mut self, node: usize, relayed: Vec<RelayedSnapshot>, recipients: &[SocketAddr]) {
        let sender = &mut self.nodes[node];
        sender.sequence += 1;
        let snapshot = LoadSnapshot {
            node: sender.name.clone(),
            incarnation: millis(self.now),
            sequence: sender.sequence,
            relayed,
            ..LoadSnapshot::default()
        };
        for recipient in recipients {
            sender.datagrams += 1;
            self.sent += 1;
            if !self.sent.is_multiple_of(self.dropped_in) {
                self.in_transit
                    .push((usize::from(recipient.port() - FIRST_PORT), snapshot.clone()));
            }
        }
    }

    #[allow(clippy::expect_used, reason = "test helpers may panic")]
    fn deliver(&mut self) {
        for (node, snapshot) in std::mem::take(&mut self.in_transit) {
            if !self.nodes[node].is_alive {
                continue;
            }
            let receiver = &mut self.nodes[node];
            let forwarded = receiver.router.receive(&snapshot, self.now).expect("sound snapshots");
            let recipients: Vec<SocketAddr> = receiver.router.recipients().collect();
            let relayed = snapshot.relayed.iter().map(|relayed| {
                let age = Duration::from_millis(u64::from(relayed.age_ms));
                (decode_snapshot(&relayed.bytes).expect("a sound snapshot"), age)
            });
            let all: Vec<_> = relayed.collect();
            for (known, _) in all.into_iter().chain([(snapshot, Duration::ZERO)]) {
                let made = Duration::from_millis(known.incarnation);
                let latest = receiver.known.entry(known.node).or_default();
                *latest = made.max(*latest);
            }
            if !forwarded.is_empty() {
                self.send(node, forwarded, &recipients);
            }
        }
    }

    #[allow(clippy::expect_used, reason = "test helpers may panic")]
    fn play(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for node in 0..self.nodes.len() {
                let sender = &mut self.nodes[node];
                if !sender.is_alive {
                    continue;
                }
                let interval = sender.router.send_interval().max(CHANGE_INTERVAL);
                if self.now >= sender.sent_at + interval {
                    sender.sent_at = self.now;
                    let recipients: Vec<SocketAddr> = sender.router.recipients().collect();
                    self.send(node, Vec::new(), &recipients);
                }
                let digests = self.nodes[node].router.take_digests(self.now);
                for digest in digests.expect("sound snapshots") {
                    self.send(node, digest.snapshots, &[digest.recipient]);
                }
            }
        }
    }

    /// Returns the ages of what living nodes know of one another, sorted; the oldest possible age
    /// stands for a node that is not known.
    fn ages(&self) -> Vec<Duration> {
        let living = || self.nodes.iter().filter(|node| node.is_alive);
        let mut ages: Vec<Duration> = living()
            .flat_map(|node| {
                living().filter(|other| other.name != node.name).map(move |other| (node, other))
            })
            .map(|(node, other)| {
                self.now - node.known.get(&other.name).copied().unwrap_or_default()
            })
            .collect();
        ages.sort_unstable();
        ages
    }

    /// Returns the datagrams that a node sends per second, on average.
    fn rate(&self, since: Duration) -> f64 {
        let total: usize = self.nodes.iter().map(|node| node.datagrams).sum();
        total as f64 / self.nodes.len() as f64 / (self.now - since).as_secs_f64()
    }
}

#[test]
fn every_node_learns_of_all_others_in_fleets_of_any_size() {
    for (count, data_centres) in [(1, 1), (8, 3), (24, 3), (25, 3), (95, 5), (95, 1), (150, 5)] {
        let mut fleet = PlayedFleet::new(count, data_centres);
        fleet.play(Duration::from_secs(3));
        let oldest = fleet.ages().last().copied().unwrap_or_default();
        assert!(
            oldest < Duration::from_millis(1_500),
            "{count} nodes in {data_centres} data centres: oldest snapshot {oldest:?}"
        );
    }
}

#[test]
fn cost_of_a_node_does_not_grow_with_the_number_of_data_centres() {
    for (count, data_centres) in [(95, 5), (190, 10)] {
        let mut fleet = PlayedFleet::new(count, data_centres);
        let began = fleet.now;
        fleet.play(Duration::from_secs(3));
        let rate = fleet.rate(began);
        let forwarded = (data_centres - 1) as f64 * 5.0;
        assert!(rate < 500.0 + forwarded * 1.5, "{count} nodes: {rate} datagrams a second");
    }
}

#[test]
fn half_of_the_nodes_dead_leave_the_others_informed() {
    let mut fleet = PlayedFleet::new(95, 5);
    fleet.play(Duration::from_secs(2));
    for node in fleet.nodes.iter_mut().step_by(2) {
        node.is_alive = false;
    }
    fleet.play(Duration::from_secs(4));
    let ages = fleet.ages();
    let (median, oldest) = (ages[ages.len() / 2], ages[ages.len() - 1]);
    assert!(median < Duration::from_millis(1_000), "median age {median:?}");
    assert!(oldest < MAX_AGE * 2, "oldest {oldest:?}");
}

#[test]
fn lost_datagrams_delay_snapshots_only_a_little() {
    let mut fleet = PlayedFleet::new(95, 5);
    fleet.dropped_in = 10;
    fleet.play(Duration::from_secs(4));
    let ages = fleet.ages();
    let late = ages.iter().filter(|age| **age > MAX_AGE).count();
    assert_eq!(late, 0, "oldest {:?}", ages.last());
}

#[test]
fn nodes_that_announce_no_data_centre_get_snapshots_directly() {
    let mut router = SnapshotRouter::new("own", "here".into());
    let peers = (0..40).map(|index| SnapshotPeer {
        node: format!("node-{index}").into(),
        address: address(index),
        data_centre: match index {
            0..10 => Some("here".into()),
            10..20 => None,
            _ => Some("there".into()),
        },
    });
    router.set_peers(peers);
    assert_eq!(router.recipients().count(), 20);
}

#[test]
fn digest_is_divided_into_datagrams_that_hold_every_snapshot() {
    let mut fleet = PlayedFleet::new(60, 2);
    let works = (0..40).map(|index| apricotknot_core::fleet::WorkSnapshot {
        endpoint: format!("engine-{index:03}").into(),
        is_helper: false,
        prompt: 190_000,
        memory: 190_000,
        read_ms: 3_000,
        is_writing: true,
        age_ms: 700,
        pause_limit_ms: 1_000,
    });
    let works: Vec<_> = works.collect();
    let router = &mut fleet.nodes[0].router;
    let began = Duration::from_secs(1);
    assert_eq!(router.take_digests(began), Ok(Vec::new()), "the first turn comes later");
    let turn = router.next_digest().unwrap_or_default();
    for index in (2..60).step_by(2) {
        let snapshot = LoadSnapshot {
            node: format!("node-{index:03}").into(),
            works: works.clone(),
            ..LoadSnapshot::default()
        };
        assert_eq!(router.receive(&snapshot, turn), Ok(Vec::new()));
    }
    let digests = router.take_digests(turn).unwrap_or_default();
    let relayed: Vec<_> = digests.iter().flat_map(|digest| &digest.snapshots).collect();
    assert!(digests.len() > 1, "one datagram cannot hold {} snapshots", relayed.len());
    for digest in &digests {
        let size: usize = digest.snapshots.iter().map(|relayed| relayed.bytes.len()).sum();
        assert!(size <= 8 * 1_024, "{size} bytes in one datagram");
    }
    assert_eq!(relayed.len(), 29);
}

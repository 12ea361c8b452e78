//! Decides to which nodes a node sends load snapshots, and which snapshots it passes on.
//!
//! In a small fleet each node sends its snapshots to all others. In a larger one it sends them to
//! the nodes of its own data centre only. The nodes of a data centre take turns to send a digest,
//! the latest snapshots of them all, to one node of each other data centre, which forwards it to the
//! nodes there. The turns and the recipients rotate, so a node that fails delays a few digests and
//! stops none.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_core::fleet::LoadKnowledge;
use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::RelayedSnapshot;
use apricotknot_core::membership::hash_text;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;

use super::DatagramError;
use super::snapshot_codec::encode_snapshot;
use crate::clock::millis;

/// Interval at which a data centre sends digests to each other one.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Age beyond which a snapshot is left out of digests; earlier ones have held it.
const MAX_DIGEST_AGE: Duration = Duration::from_millis(700);

/// Size of the snapshots in one datagram, in bytes, above which the rest go in another one.
const DIGEST_BYTES: usize = 8 * 1_024;

/// Snapshots of its own that a node sends per second, counted for each recipient.
///
/// With more recipients, a node merges the changes of a longer time.
const SENT_PER_SECOND: u32 = 500;

/// A node to which snapshots are sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotPeer {
    /// Name of the node.
    pub node: NodeId,
    /// Address at which it receives snapshots.
    pub address: SocketAddr,
    /// Data centre that it runs in, or `None` if its version does not announce it.
    pub data_centre: Option<DataCentreId>,
}

/// Snapshots for one node, to be sent along with the sender's own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotDigest {
    /// Node that receives them.
    pub recipient: SocketAddr,
    /// Snapshots, in the order of the nodes' names.
    pub snapshots: Vec<RelayedSnapshot>,
}

#[derive(Clone, Debug)]
struct HeldSnapshot {
    snapshot: LoadSnapshot,
    received: MonotonicTime,
}

/// Holds the other nodes, and the latest snapshots of those in the same data centre.
#[derive(Debug)]
pub struct SnapshotRouter {
    data_centre: DataCentreId,
    /// Fraction of the time between two digests after which the first one is sent, so that the
    /// nodes of a data centre spread theirs.
    first_turn: f64,
    /// Nodes that get each snapshot of this node.
    direct: BTreeMap<NodeId, SocketAddr>,
    /// Nodes of each other data centre, which get digests; empty in a small fleet.
    remote: BTreeMap<DataCentreId, Vec<SnapshotPeer>>,
    held: BTreeMap<NodeId, HeldSnapshot>,
    next_digest: Option<MonotonicTime>,
    /// Number of digests sent to each data centre; selects the next recipient.
    round: usize,
}

// Methods that change the state.
impl SnapshotRouter {
    /// Creates the router of a node that knows no others.
    pub fn new(node: &str, data_centre: DataCentreId) -> Self {
        let hash = hash_text(0, node) >> 32;
        Self {
            data_centre,
            first_turn: hash as f64 / f64::from(u32::MAX),
            round: usize::try_from(hash).unwrap_or(0),
            direct: BTreeMap::new(),
            remote: BTreeMap::new(),
            held: BTreeMap::new(),
            next_digest: None,
        }
    }

    /// Replaces the other nodes by `peers`.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = SnapshotPeer>) {
        let peers: Vec<SnapshotPeer> = peers.into_iter().collect();
        let knowledge = LoadKnowledge::in_fleet_of(peers.len() + 1);
        self.direct.clear();
        self.remote.clear();
        for peer in peers {
            match &peer.data_centre {
                Some(centre)
                    if knowledge == LoadKnowledge::Digests && *centre != self.data_centre =>
                {
                    self.remote.entry(centre.clone()).or_default().push(peer);
                },
                _ => _ = self.direct.insert(peer.node, peer.address),
            }
        }
        self.held.retain(|node, _| self.direct.contains_key(node));
    }

    /// Records a snapshot that another node sent at `now`; returns what is to be forwarded to the
    /// nodes of this data centre.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot of a node in another data centre cannot be encoded.
    pub fn receive(
        &mut self,
        snapshot: &LoadSnapshot,
        now: MonotonicTime,
    ) -> Result<Vec<RelayedSnapshot>, DatagramError> {
        if self.direct.contains_key(&snapshot.node) {
            // A clock that is told later is of no use.
            let own = LoadSnapshot { relayed: Vec::new(), wall_clock_us: None, ..snapshot.clone() };
            let held = HeldSnapshot { snapshot: own, received: now };
            self.held.insert(NodeId::clone(&snapshot.node), held);
            return Ok(Vec::new());
        }
        let is_remote = self.remote.values().flatten().any(|peer| peer.node == snapshot.node);
        if !is_remote {
            return Ok(Vec::new());
        }
        let sender = LoadSnapshot { relayed: Vec::new(), wall_clock_us: None, ..snapshot.clone() };
        let sender = RelayedSnapshot { age_ms: 0, bytes: encode_snapshot(&sender)? };
        Ok(std::iter::once(sender).chain(snapshot.relayed.iter().cloned()).collect())
    }

    /// Returns the digests to send at `now`, and begins the time until the next ones.
    ///
    /// # Errors
    ///
    /// Returns an error if a snapshot cannot be encoded.
    pub fn take_digests(
        &mut self,
        now: MonotonicTime,
    ) -> Result<Vec<SnapshotDigest>, DatagramError> {
        if self.remote.is_empty() {
            self.next_digest = None;
            return Ok(Vec::new());
        }
        let period = self.digest_period();
        let first = now + period.mul_f64(self.first_turn);
        let next_digest = *self.next_digest.get_or_insert(first);
        if now < next_digest {
            return Ok(Vec::new());
        }
        self.next_digest = Some(now + period);
        self.round = self.round.wrapping_add(1);
        let parts = self.digest_parts(now)?;
        let recipients = self.remote.values().filter_map(|peers| {
            peers.get(self.round.checked_rem(peers.len())?).map(|peer| peer.address)
        });
        let digests = recipients.flat_map(|recipient| {
            parts
                .iter()
                .map(move |snapshots| SnapshotDigest { recipient, snapshots: snapshots.clone() })
        });
        Ok(digests.collect())
    }
}

// Methods that only read the state.
impl SnapshotRouter {
    /// Returns the nodes that get each snapshot of this node.
    pub fn recipients(&self) -> impl Iterator<Item = SocketAddr> {
        self.direct.values().copied()
    }

    /// Returns the shortest time between two snapshots of this node.
    pub fn send_interval(&self) -> Duration {
        let recipients = u32::try_from(self.direct.len()).unwrap_or(u32::MAX);
        Duration::from_secs(1).saturating_mul(recipients) / SENT_PER_SECOND
    }

    /// Returns the time at which the next digests are due, if any are sent.
    pub fn next_digest(&self) -> Option<MonotonicTime> {
        self.next_digest.filter(|_| !self.remote.is_empty())
    }

    /// Returns the time between two digests of this node; the nodes of a data centre take turns.
    fn digest_period(&self) -> Duration {
        let nodes = u32::try_from(self.direct.len() + 1).unwrap_or(u32::MAX);
        DIGEST_INTERVAL.saturating_mul(nodes)
    }

    /// Returns the recent snapshots of this data centre, divided so that each part fits in a
    /// datagram.
    ///
    /// The part is empty if there are none: the sender's own snapshot goes with each.
    fn digest_parts(&self, now: MonotonicTime) -> Result<Vec<Vec<RelayedSnapshot>>, DatagramError> {
        let mut parts = vec![Vec::new()];
        let mut size = 0;
        for held in self.held.values() {
            let age = now.saturating_sub(held.received);
            if age > MAX_DIGEST_AGE {
                continue;
            }
            let bytes = encode_snapshot(&held.snapshot)?;
            size += bytes.len();
            if size > DIGEST_BYTES && parts.last().is_some_and(|part| !part.is_empty()) {
                size = bytes.len();
                parts.push(Vec::new());
            }
            let age_ms = u32::try_from(millis(age)).unwrap_or(u32::MAX);
            if let Some(part) = parts.last_mut() {
                part.push(RelayedSnapshot { age_ms, bytes });
            }
        }
        Ok(parts)
    }
}

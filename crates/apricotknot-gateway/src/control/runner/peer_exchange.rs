//! Exchange of load snapshots and counts of requests with the other nodes, over UDP.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::RelayedSnapshot;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::usage::CountSnapshot;
use slog::Logger;
use slog::warn;
use tokio::net::UdpSocket;

use crate::clock::micros;
use crate::clock::wall_clock;
use crate::control::ControlState;
use crate::duties::UsageHandle;
use crate::peers::DatagramError;
use crate::peers::PeerMessage;
use crate::peers::PeerSeals;
use crate::peers::SnapshotRouter;
use crate::peers::decode_snapshot;

/// Longest interval between two snapshots to other nodes.
const MAX_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(300);

/// Largest datagram that can be received, in bytes.
const DATAGRAM_BYTES: usize = 32 * 1_024;

/// Most datagrams that are handled before the other inputs are polled again.
const DATAGRAM_BATCH: usize = 32;

/// Sends this node's snapshots and digests, and applies those of other nodes.
pub(super) struct PeerExchange {
    socket: UdpSocket,
    buffer: Vec<u8>,
    node: NodeId,
    seals: PeerSeals,
    router: SnapshotRouter,
    /// Usage that the node counts, if the deployment asks for reports.
    usage: Option<UsageHandle>,
    sent_at: MonotonicTime,
    has_unsent_changes: bool,
    logger: Logger,
}

impl PeerExchange {
    /// Binds the address at which the node receives snapshots.
    pub(super) async fn bind(
        address: SocketAddr,
        node: NodeId,
        data_centre: DataCentreId,
        logger: Logger,
    ) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            buffer: vec![0; DATAGRAM_BYTES],
            seals: PeerSeals::default(),
            router: SnapshotRouter::new(&node, data_centre),
            usage: None,
            node,
            sent_at: MonotonicTime::ZERO,
            has_unsent_changes: false,
            logger,
        })
    }

    /// Makes the node send its counts of requests, and merge those of other nodes.
    pub(super) fn set_usage(&mut self, usage: Option<UsageHandle>) {
        self.usage = usage;
    }

    /// Sets the secret with which nodes sign; returns whether it is another one than before.
    pub(super) fn set_secret(&mut self, secret: &[u8]) -> bool {
        self.seals.set_secret(secret)
    }

    /// Returns the seals of the secrets that nodes sign with.
    pub(super) fn seals(&self) -> &PeerSeals {
        &self.seals
    }

    /// Takes over the nodes that are announced.
    pub(super) fn update_peers(&mut self, state: &ControlState) {
        self.router.set_peers(state.registry().snapshot_peers(&self.node));
    }

    /// Waits until datagrams have arrived.
    pub(super) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Applies the datagrams that have arrived; returns their number.
    pub(super) fn receive(&mut self, state: &mut ControlState, now: MonotonicTime) -> usize {
        for count in 0..DATAGRAM_BATCH {
            match self.socket.try_recv_from(&mut self.buffer) {
                Ok((length, _)) => {
                    if let Err(error) = self.apply_datagram(length, state, now) {
                        warn!(
                            self.logger, "control: dropping a peer datagram"; "error" => %error
                        );
                    }
                },
                // Nothing is left, or an earlier send was refused; the loop polls again.
                Err(_) => return count,
            }
        }
        DATAGRAM_BATCH
    }

    fn apply_datagram(
        &mut self,
        length: usize,
        state: &mut ControlState,
        now: MonotonicTime,
    ) -> Result<(), DatagramError> {
        match self.seals.decode(&self.buffer[..length])? {
            Some(PeerMessage::Load(snapshot)) => self.apply_load(*snapshot, state, now),
            Some(PeerMessage::Counts(counts)) => {
                if let Some(usage) = &self.usage {
                    usage.borrow_mut().merge(&counts, now);
                }
                Ok(())
            },
            None => Ok(()),
        }
    }

    fn apply_load(
        &mut self,
        snapshot: LoadSnapshot,
        state: &mut ControlState,
        now: MonotonicTime,
    ) -> Result<(), DatagramError> {
        if let (Some(usage), Some(wall_us)) = (&self.usage, snapshot.wall_clock_us) {
            let wall = Duration::from_micros(wall_us);
            usage.borrow_mut().record_clock(&snapshot.node, wall, now);
        }
        let forwarded = self.router.receive(&snapshot, now)?;
        if !forwarded.is_empty() {
            self.send(state, forwarded, self.router.recipients().collect(), now);
        }
        for relayed in &snapshot.relayed {
            let as_of = now.saturating_sub(Duration::from_millis(u64::from(relayed.age_ms)));
            state.apply_peer_snapshot(decode_snapshot(&relayed.bytes)?, as_of);
        }
        state.apply_peer_snapshot(snapshot, now);
        Ok(())
    }

    /// Sends a snapshot and digests if they are due.
    pub(super) fn send_due(&mut self, state: &mut ControlState, now: MonotonicTime) {
        self.has_unsent_changes |= state.take_unsent_changes();
        if self.next_snapshot() <= now {
            self.has_unsent_changes = false;
            self.sent_at = now;
            self.send(state, Vec::new(), self.router.recipients().collect(), now);
        }
        match self.router.take_digests(now) {
            Ok(digests) => {
                for digest in digests {
                    self.send(state, digest.snapshots, vec![digest.recipient], now);
                }
            },
            Err(error) => self.log_unsent(&error),
        }
    }

    /// Sends the counts of this node if they are due.
    pub(super) fn send_due_counts(&self, state: &ControlState, now: MonotonicTime) {
        if let Some(usage) = &self.usage {
            let counts = usage.borrow_mut().take_due_counts(now);
            self.send_counts(usage, state, &counts);
        }
    }

    /// Sends the counts of this node, which is about to stop.
    pub(super) fn send_last_counts(&self, state: &ControlState, now: MonotonicTime) {
        if let Some(usage) = &self.usage {
            let counts = usage.borrow_mut().take_counts(now);
            self.send_counts(usage, state, &counts);
        }
    }

    fn send_counts(&self, usage: &UsageHandle, state: &ControlState, counts: &[CountSnapshot]) {
        let Some(seal) = self.seals.current() else {
            return;
        };
        let usage = usage.borrow();
        let records = usage.recipients().iter().filter(|node| **node != self.node);
        let records = records.filter_map(|node| state.registry().announced(node));
        let addresses: Vec<SocketAddr> = records.map(|record| record.address).collect();
        for part in counts {
            match seal.encode_counts(part) {
                Ok(datagram) => {
                    for address in &addresses {
                        // Later counts include those that cannot be sent.
                        let _ = self.socket.try_send_to(&datagram, *address);
                    }
                },
                Err(error) => self.log_unsent(&error),
            }
        }
    }

    /// Sends this node's snapshot, with those that it passes on.
    fn send(
        &self,
        state: &mut ControlState,
        relayed: Vec<RelayedSnapshot>,
        recipients: Vec<SocketAddr>,
        now: MonotonicTime,
    ) {
        let Some(seal) = self.seals.current() else {
            return;
        };
        let wall_clock_us = self.usage.as_ref().map(|_| micros(wall_clock()));
        let snapshot = LoadSnapshot { relayed, wall_clock_us, ..state.next_snapshot(now) };
        match seal.encode(&snapshot) {
            Ok(datagram) => {
                for recipient in recipients {
                    // The next snapshot replaces one that cannot be sent.
                    let _ = self.socket.try_send_to(&datagram, recipient);
                }
            },
            Err(error) => self.log_unsent(&error),
        }
    }

    fn log_unsent(&self, error: &DatagramError) {
        warn!(
            self.logger, "control: cannot encode a message to peers; not sending it";
            "error" => %error
        );
    }
}

impl PeerExchange {
    /// Returns the time at which the next snapshot or digest is due.
    pub(super) fn next_send(&self) -> MonotonicTime {
        let digest = self.router.next_digest().unwrap_or(MonotonicTime::MAX);
        self.next_snapshot().min(digest)
    }

    fn next_snapshot(&self) -> MonotonicTime {
        let interval = match self.has_unsent_changes {
            true => self.router.send_interval(),
            false => MAX_SNAPSHOT_INTERVAL,
        };
        self.sent_at + interval.min(MAX_SNAPSHOT_INTERVAL)
    }
}

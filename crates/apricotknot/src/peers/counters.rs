//! Counters of calls and connections between nodes.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use apricotknot_wire::auth::HandshakeErrorKind;
use apricotknot_wire::auth::TrafficCounters;
use apricotknot_wire::convert::ConvertError;
use apricotknot_wire::convert::ConvertErrorKind;

/// Counts calls, connections and refused messages of one node; may be read from any thread.
#[derive(Debug, Default)]
pub struct PeerCounters {
    pub(super) traffic: Arc<TrafficCounters>,
    pub(super) calls_sent: AtomicU64,
    pub(super) calls_failed: AtomicU64,
    pub(super) calls_received: AtomicU64,
    pub(super) connections_opened: AtomicU64,
    pub(super) connections_accepted: AtomicU64,
    pub(super) connections_refused: AtomicU64,
    unauthenticated: AtomicU64,
    malformed: AtomicU64,
    oversized: AtomicU64,
    forged: AtomicU64,
}

pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl PeerCounters {
    pub(super) fn count_handshake(&self, kind: HandshakeErrorKind) {
        increment(&self.connections_refused);
        match kind {
            HandshakeErrorKind::Malformed => increment(&self.malformed),
            HandshakeErrorKind::Oversized => increment(&self.oversized),
            HandshakeErrorKind::Unauthenticated => increment(&self.unauthenticated),
            HandshakeErrorKind::Broken | HandshakeErrorKind::WrongPeer => {},
        }
    }

    pub(super) fn count_conversion(&self, error: &ConvertError) {
        match error.kind() {
            ConvertErrorKind::Malformed => increment(&self.malformed),
            ConvertErrorKind::Oversized => increment(&self.oversized),
        }
    }

    pub(super) fn count_forged(&self) {
        increment(&self.forged);
    }
}

impl PeerCounters {
    /// Returns the counters of bytes and frames, including frames with an invalid seal.
    pub fn traffic(&self) -> &TrafficCounters {
        &self.traffic
    }

    /// Returns the number of calls to peers, including those without a connection.
    pub fn calls_sent(&self) -> u64 {
        self.calls_sent.load(Ordering::Relaxed)
    }

    /// Returns the number of calls to peers that failed.
    pub fn calls_failed(&self) -> u64 {
        self.calls_failed.load(Ordering::Relaxed)
    }

    /// Returns the number of calls received from peers, including those refused.
    pub fn calls_received(&self) -> u64 {
        self.calls_received.load(Ordering::Relaxed)
    }

    /// Returns the number of connections opened to peers.
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened.load(Ordering::Relaxed)
    }

    /// Returns the number of connections accepted from authenticated peers.
    pub fn connections_accepted(&self) -> u64 {
        self.connections_accepted.load(Ordering::Relaxed)
    }

    /// Returns the number of connections refused for any reason, as client or as server.
    pub fn connections_refused(&self) -> u64 {
        self.connections_refused.load(Ordering::Relaxed)
    }

    /// Returns the number of connections refused because the other end knows no key of this node.
    pub fn unauthenticated(&self) -> u64 {
        self.unauthenticated.load(Ordering::Relaxed)
    }

    /// Returns the number of messages refused because they violate the schema or the handshake.
    pub fn malformed(&self) -> u64 {
        self.malformed.load(Ordering::Relaxed)
    }

    /// Returns the number of messages refused because they are too long.
    pub fn oversized(&self) -> u64 {
        self.oversized.load(Ordering::Relaxed)
    }

    /// Returns the number of messages refused because they name a sender other than the peer of the
    /// connection.
    pub fn forged(&self) -> u64 {
        self.forged.load(Ordering::Relaxed)
    }
}

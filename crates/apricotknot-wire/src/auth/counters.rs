//! Counters of frames and bytes on authenticated connections.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counts bytes, frames and refused frames over all connections of a node.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    received_bytes: AtomicU64,
    received_frames: AtomicU64,
    refused_frames: AtomicU64,
    sent_bytes: AtomicU64,
    sent_frames: AtomicU64,
}

/// Methods that record traffic.
impl TrafficCounters {
    pub(super) fn count_sent(&self, frames: u64, bytes: usize) {
        self.sent_frames.fetch_add(frames, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_received(&self, frames: u64, bytes: usize) {
        self.received_frames.fetch_add(frames, Ordering::Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_refused(&self) {
        self.refused_frames.fetch_add(1, Ordering::Relaxed);
    }
}

/// Methods that read the counters.
impl TrafficCounters {
    /// Returns the number of bytes received, including frame headers and seals.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of handshake messages and frames received.
    pub fn received_frames(&self) -> u64 {
        self.received_frames.load(Ordering::Relaxed)
    }

    /// Returns the number of frames that were refused because of a wrong length or seal.
    pub fn refused_frames(&self) -> u64 {
        self.refused_frames.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent, including frame headers and seals.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of handshake messages and frames sent.
    pub fn sent_frames(&self) -> u64 {
        self.sent_frames.load(Ordering::Relaxed)
    }
}

//! Signed datagrams, in which nodes send load snapshots and counts of requests to one another.
//!
//! A snapshot is complete, so the next datagram replaces a lost one, and no node waits for an
//! answer. Remote calls would add a connection and an answer for each pair of nodes.
//! [`SnapshotRouter`] decides which nodes get which snapshots.

mod counts_codec;
mod datagram_error;
mod datagram_seal;
mod peer_message;
mod peer_seals;
mod snapshot_codec;
mod snapshot_router;

pub use counts_codec::decode_counts;
pub use datagram_error::DatagramError;
pub use datagram_seal::DatagramSeal;
pub use peer_message::PeerMessage;
pub use peer_seals::PeerSeals;
pub use snapshot_codec::decode_snapshot;
pub use snapshot_router::SnapshotDigest;
pub use snapshot_router::SnapshotPeer;
pub use snapshot_router::SnapshotRouter;

pub(crate) use datagram_seal::TAG_BYTES;

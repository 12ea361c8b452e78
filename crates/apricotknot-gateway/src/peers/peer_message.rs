//! Messages in the datagrams between nodes.

use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::usage::CountSnapshot;

use super::DatagramError;
use super::counts_codec::decode_counts;
use super::snapshot_codec::decode_snapshot;

/// Holds what one datagram tells.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Load of the sender.
    Load(Box<LoadSnapshot>),
    /// Requests that the sender has counted.
    Counts(CountSnapshot),
}

impl PeerMessage {
    /// Reads the content of a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it is no message that this version knows.
    pub(super) fn decode(content: &[u8]) -> Result<Self, DatagramError> {
        match decode_counts(content)? {
            Some(counts) => Ok(Self::Counts(counts)),
            None => decode_snapshot(content).map(|snapshot| Self::Load(Box::new(snapshot))),
        }
    }
}

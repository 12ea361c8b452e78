//! Encoding and decoding of signed load snapshots.

use apricotknot_core::fleet::LoadSnapshot;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use super::DatagramError;
use super::snapshot_codec::decode_snapshot;
use super::snapshot_codec::encode_snapshot;

/// Length of the signature at the end of a datagram, in bytes.
const TAG_BYTES: usize = 16;

/// Signs load snapshots with the peer secret, and verifies the signatures of other nodes.
#[derive(Clone)]
pub struct DatagramSeal {
    mac: Hmac<Sha256>,
}

impl DatagramSeal {
    /// Creates the seal from a secret of any length.
    pub fn new(secret: &[u8]) -> Option<Self> {
        Hmac::new_from_slice(secret).ok().map(|mac| Self { mac })
    }

    /// Returns the datagram with a snapshot and its signature.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot cannot be encoded.
    pub fn encode(&self, snapshot: &LoadSnapshot) -> Result<Vec<u8>, DatagramError> {
        let mut bytes = encode_snapshot(snapshot)?;
        let mut mac = self.mac.clone();
        mac.update(&bytes);
        bytes.extend_from_slice(&mac.finalize().into_bytes()[..TAG_BYTES]);
        Ok(bytes)
    }

    /// Returns the snapshot of a datagram whose signature is valid.
    ///
    /// # Errors
    ///
    /// Returns why the datagram is rejected.
    pub fn decode(&self, datagram: &[u8]) -> Result<LoadSnapshot, DatagramError> {
        let length =
            datagram.len().checked_sub(TAG_BYTES).ok_or(DatagramError::TooShort(datagram.len()))?;
        let (bytes, tag) = datagram.split_at(length);
        let mut mac = self.mac.clone();
        mac.update(bytes);
        mac.verify_truncated_left(tag).map_err(|_| DatagramError::InvalidSignature)?;
        decode_snapshot(bytes)
    }
}

//! Encoding and decoding of signed datagrams.

use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::usage::CountSnapshot;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use super::DatagramError;
use super::counts_codec::encode_counts;
use super::snapshot_codec::decode_snapshot;
use super::snapshot_codec::encode_snapshot;

/// Length of a signature, in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// Signs load snapshots and other messages with the peer secret, and verifies the signatures of other nodes.
#[derive(Clone, Debug)]
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
        Ok(self.sign(encode_snapshot(snapshot)?))
    }

    /// Returns the datagram with counts and its signature.
    ///
    /// # Errors
    ///
    /// Returns an error if the counts cannot be encoded.
    pub fn encode_counts(&self, counts: &CountSnapshot) -> Result<Vec<u8>, DatagramError> {
        Ok(self.sign(encode_counts(counts)?))
    }

    /// Returns the snapshot of a datagram whose signature is valid.
    ///
    /// # Errors
    ///
    /// Returns why the datagram is rejected.
    pub fn decode(&self, datagram: &[u8]) -> Result<LoadSnapshot, DatagramError> {
        decode_snapshot(self.open(datagram)?)
    }

    /// Returns the content of a datagram whose signature is valid.
    ///
    /// # Errors
    ///
    /// Returns why the datagram is rejected.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], DatagramError> {
        let length =
            datagram.len().checked_sub(TAG_BYTES).ok_or(DatagramError::TooShort(datagram.len()))?;
        let (bytes, tag) = datagram.split_at(length);
        if !self.verifies(&[bytes], tag) {
            return Err(DatagramError::InvalidSignature);
        }
        Ok(bytes)
    }

    fn sign(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        let tag = self.tag(&[&bytes]);
        bytes.extend_from_slice(&tag);
        bytes
    }

    /// Returns the signature of a message that consists of `parts`.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let bytes = self.mac_of(parts).finalize().into_bytes();
        std::array::from_fn(|index| bytes[index])
    }

    /// Returns whether `tag` is the signature of a message that consists of `parts`.
    pub(crate) fn verifies(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        self.mac_of(parts).verify_truncated_left(tag).is_ok()
    }

    fn mac_of(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        parts.iter().for_each(|part| mac.update(part));
        mac
    }
}

//! Writes and reads signed news.

use apricotknot_core::fleet::LoadSnapshot;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use super::DatagramError;

/// Length of a signature, in bytes.
const TAG_BYTES: usize = 16;

/// Signs news with the secret that the nodes share, and checks the signatures of others.
#[derive(Clone)]
pub struct DatagramSeal {
    mac: Hmac<Sha256>,
}

impl DatagramSeal {
    /// Creates the seal of a secret of any length.
    pub fn new(secret: &[u8]) -> Option<Self> {
        Hmac::new_from_slice(secret).ok().map(|mac| Self { mac })
    }

    /// Writes signed news.
    ///
    /// # Errors
    ///
    /// Returns an error where the news cannot be encoded.
    pub fn encode(&self, snapshot: &LoadSnapshot) -> Result<Vec<u8>, DatagramError> {
        let mut bytes = postcard::to_allocvec(snapshot).map_err(|_| DatagramError::Malformed)?;
        let mut mac = self.mac.clone();
        mac.update(&bytes);
        bytes.extend_from_slice(&mac.finalize().into_bytes()[..TAG_BYTES]);
        Ok(bytes)
    }

    /// Reads signed news.
    ///
    /// # Errors
    ///
    /// Returns why the datagram is not taken in.
    pub fn decode(&self, datagram: &[u8]) -> Result<LoadSnapshot, DatagramError> {
        let length =
            datagram.len().checked_sub(TAG_BYTES).ok_or(DatagramError::TooShort(datagram.len()))?;
        let (bytes, tag) = datagram.split_at(length);
        let mut mac = self.mac.clone();
        mac.update(bytes);
        mac.verify_truncated_left(tag).map_err(|_| DatagramError::InvalidSignature)?;
        postcard::from_bytes(bytes).map_err(|_| DatagramError::Malformed)
    }
}

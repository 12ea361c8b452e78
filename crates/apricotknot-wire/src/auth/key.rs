//! Secret keys that the nodes share.

use std::fmt;
use std::sync::Arc;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use hmac::digest::InvalidLength;
use sha2::Sha256;
use thiserror::Error;

/// Minimum length of a key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Size of a key id, in bytes.
pub(super) const KEY_ID_BYTES: usize = 8;

/// Size of a handshake proof, an untruncated HMAC-SHA-256, in bytes.
pub(super) const PROOF_BYTES: usize = 32;

/// Message authentication code (MAC) over a handshake transcript or a frame.
pub(super) type KeyedMac = Hmac<Sha256>;

/// Reports why a key was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KeyError {
    /// The text is not hexadecimal.
    #[error("peer key is not hexadecimal; write an even number of hexadecimal digits, at least {}",
        MIN_KEY_BYTES * 2)]
    NotHexadecimal,
    /// The key is too short to resist a brute-force search.
    #[error("peer key has {given} bytes; at least {MIN_KEY_BYTES} random bytes are needed")]
    TooShort {
        /// Length as given, in bytes.
        given: usize,
    },
    /// The MAC implementation does not accept a key of this length.
    #[error("peer key is refused by the hash library; use a key of {MIN_KEY_BYTES} bytes")]
    Unusable,
}

impl From<InvalidLength> for KeyError {
    fn from(_: InvalidLength) -> Self {
        Self::Unusable
    }
}

/// Holds one secret key that the nodes share, and its id.
#[derive(Clone)]
pub struct SharedKey {
    mac: KeyedMac,
    id: [u8; KEY_ID_BYTES],
}

impl SharedKey {
    /// Creates a key from its bytes.
    ///
    /// # Errors
    ///
    /// Returns an error for fewer than [`MIN_KEY_BYTES`] bytes.
    pub fn new(bytes: &[u8]) -> Result<Self, KeyError> {
        if bytes.len() < MIN_KEY_BYTES {
            return Err(KeyError::TooShort { given: bytes.len() });
        }
        let mac = KeyedMac::new_from_slice(bytes)?;
        let digest = mac.clone().chain_update(b"apricotknot key id").finalize().into_bytes();
        let mut id = [0; KEY_ID_BYTES];
        id.copy_from_slice(&digest[..KEY_ID_BYTES]);
        Ok(Self { mac, id })
    }

    /// Creates a key from hexadecimal digits, the format of the settings file.
    ///
    /// # Errors
    ///
    /// Returns an error for other characters and for fewer than [`MIN_KEY_BYTES`] bytes.
    pub fn from_hex(text: &str) -> Result<Self, KeyError> {
        let bytes = hex::decode(text.trim()).map_err(|_| KeyError::NotHexadecimal)?;
        Self::new(&bytes)
    }

    /// Returns the id, which identifies the key without revealing it.
    pub(super) fn id(&self) -> [u8; KEY_ID_BYTES] {
        self.id
    }

    /// Returns the MAC over `label` and `parts` under this key.
    ///
    /// The label separates the uses of the key. Each part is preceded by its length, so that bytes
    /// cannot move from one part to the next.
    pub(super) fn transcript_mac(&self, label: &[u8], parts: &[&[u8]]) -> KeyedMac {
        let mut mac = self.mac.clone();
        mac.update(label);
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("SharedKey").field("id", &hex::encode(self.id)).finish()
    }
}

/// Holds the current key and the previous key that it replaces.
///
/// To rotate the key, set the new key as current and the old key as previous on one node after the
/// other. Once all nodes have both, remove the previous key in the same manner.
#[derive(Clone, Debug)]
pub struct KeyRing {
    keys: Arc<[SharedKey]>,
}

impl KeyRing {
    /// Creates a ring that holds only the current key.
    pub fn new(current: SharedKey) -> Self {
        Self { keys: Arc::from([current]) }
    }

    /// Returns the ring with `previous` as the key that the current one replaces.
    pub fn previous(self, previous: SharedKey) -> Self {
        let keys = self.keys.iter().take(1).cloned().chain([previous]).collect();
        Self { keys }
    }

    /// Returns the ids of the keys, the current one first.
    pub(super) fn ids(&self) -> Vec<[u8; KEY_ID_BYTES]> {
        self.keys.iter().map(SharedKey::id).collect()
    }

    /// Returns the first key of the ring whose id is among `ids`.
    pub(super) fn find(&self, ids: &[[u8; KEY_ID_BYTES]]) -> Option<&SharedKey> {
        self.keys.iter().find(|key| ids.contains(&key.id))
    }
}

//! Keys of non-repeatable calls.

use sha2::Digest;
use sha2::Sha256;

use crate::types::ServiceId;

/// Digest of a request's method, path and body.
pub type ContentDigest = u128;

/// Position of a shard, from 0.
pub type ShardIndex = u32;

/// Number of shards; it must never change, because it determines the shard of each key.
const SHARD_COUNT: u32 = 16;

/// Identifies a non-repeatable call by account, service and the caller's idempotency key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallKey(u128);

impl CallKey {
    /// Number of shards.
    pub const SHARDS: u32 = SHARD_COUNT;

    /// Creates the key of the call with `idempotency_key` from `account` to `service`.
    pub fn new(account: &str, service: &ServiceId, idempotency_key: &str) -> Self {
        Self(content_digest(&[account.as_bytes(), service.as_bytes(), idempotency_key.as_bytes()]))
    }

    /// Returns the 128-bit digest of the key.
    pub fn digest(self) -> u128 {
        self.0
    }

    /// Returns the shard that holds the key.
    pub fn shard(self) -> ShardIndex {
        // The remainder is less than the number of shards.
        (self.0 % u128::from(SHARD_COUNT)) as ShardIndex
    }
}

/// Returns the SHA-256 digest of `parts`, truncated to 128 bits.
///
/// Each part is hashed with its length, so that different splits of the same bytes differ.
pub fn content_digest(parts: &[&[u8]]) -> ContentDigest {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest[..16]);
    u128::from_be_bytes(bytes)
}

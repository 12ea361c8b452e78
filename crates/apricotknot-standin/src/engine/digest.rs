//! Digests of prompts, equal to those that the nodes compute.

use apricotknot_core::types::PromptDigest;

/// Offset basis of 64-bit FNV-1a.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of 64-bit FNV-1a.
const PRIME: u64 = 0x0100_0000_01b3;

/// Returns the digest of a whole prompt.
pub fn prompt_digest(model: &str, prompt: &str) -> u64 {
    digest(prompt).fingerprint(model)
}

/// Returns the digest of each prefix of a prompt that consists of complete blocks, shortest first.
pub fn block_digests(model: &str, prompt: &str) -> Vec<u64> {
    digest(prompt).prefix_blocks(model)
}

/// Returns the 64-bit FNV-1a hash of `parts`.
pub(crate) fn hash_parts(parts: &[u64]) -> u64 {
    let bytes = parts.iter().flat_map(|part| part.to_le_bytes());
    bytes.fold(OFFSET_BASIS, |digest, byte| (digest ^ u64::from(byte)).wrapping_mul(PRIME))
}

fn digest(prompt: &str) -> PromptDigest {
    let mut digest = PromptDigest::new();
    digest.update(prompt.as_bytes());
    digest
}

//! Incremental digests of prompt text.

use super::PromptFingerprint;
use super::TokenCount;

/// Bytes of prompt text that are estimated as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Bytes of prompt text in one prefix-cache block of 256 tokens.
const BLOCK_BYTES: usize = 1_024;

/// Maximum leading blocks whose digests are kept.
const MAX_BLOCKS: usize = 512;

/// Odd multiplier that distributes the bits of a word.
const MIX_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Computes the length and the digests of a prompt while its text arrives in pieces.
///
/// Equal texts have equal digests, however they are divided into pieces.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptDigest {
    state: u64,
    bytes: u64,
    pending: Vec<u8>,
    blocks: Vec<u64>,
}

impl PromptDigest {
    /// Creates the digest of an empty text.
    pub fn new() -> Self {
        Self::default()
    }

    // Methods that change the digest

    /// Adds the next piece of text.
    pub fn update(&mut self, piece: &[u8]) {
        self.bytes += piece.len() as u64;
        let mut rest = piece;
        if !self.pending.is_empty() {
            let taken = rest.len().min(BLOCK_BYTES - self.pending.len());
            let (head, tail) = rest.split_at(taken);
            self.pending.extend_from_slice(head);
            rest = tail;
            if self.pending.len() < BLOCK_BYTES {
                return;
            }
            let block = std::mem::take(&mut self.pending);
            self.add_block(&block);
        }
        let mut chunks = rest.chunks_exact(BLOCK_BYTES);
        for block in &mut chunks {
            self.add_block(block);
        }
        self.pending.extend_from_slice(chunks.remainder());
    }

    // Methods that only read the digest

    /// Returns the estimated length of the text, in tokens.
    pub fn token_count(&self) -> TokenCount {
        self.bytes.div_ceil(BYTES_PER_TOKEN)
    }

    /// Returns the digest of the whole text and `scope`.
    pub fn fingerprint(&self, scope: &str) -> PromptFingerprint {
        let whole = mix_bytes(self.state, &self.pending);
        mix_bytes(mix_word(whole, self.bytes), scope.as_bytes())
    }

    /// Returns one digest for each prefix of whole blocks, shortest first.
    ///
    /// Each digest covers `model` and all blocks of its prefix. Blocks after the first 512 have
    /// none.
    pub fn prefix_blocks(&self, model: &str) -> Vec<u64> {
        self.blocks.iter().map(|state| mix_bytes(*state, model.as_bytes())).collect()
    }

    fn add_block(&mut self, block: &[u8]) {
        self.state = mix_bytes(self.state, block);
        if self.blocks.len() < MAX_BLOCKS {
            self.blocks.push(self.state);
        }
    }
}

fn mix_bytes(state: u64, bytes: &[u8]) -> u64 {
    let mut words = bytes.chunks_exact(8);
    let mut mixed = state;
    for word in &mut words {
        let mut buffer = [0; 8];
        buffer.copy_from_slice(word);
        mixed = mix_word(mixed, u64::from_le_bytes(buffer));
    }
    let rest = words.remainder();
    if rest.is_empty() {
        return mixed;
    }
    let mut buffer = [0; 8];
    buffer[..rest.len()].copy_from_slice(rest);
    mix_word(mixed, u64::from_le_bytes(buffer) ^ (rest.len() as u64) << 56)
}

fn mix_word(state: u64, word: u64) -> u64 {
    let mixed = (state ^ word).wrapping_add(1).wrapping_mul(MIX_MULTIPLIER);
    mixed ^ (mixed >> 29)
}

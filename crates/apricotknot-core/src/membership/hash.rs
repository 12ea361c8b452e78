//! Stable hashes: equal on every node and in every version of the program.

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the FNV-1a hash of `text`, seeded with `seed` and finalised by [`mix`].
pub fn hash_text(seed: u64, text: &str) -> u64 {
    let mut state = FNV_OFFSET_BASIS ^ mix(seed);
    for byte in text.bytes() {
        state = (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    mix(state)
}

/// Returns the SplitMix64 output for `value`; each input bit affects all output bits.
pub(super) fn mix(value: u64) -> u64 {
    let mut state = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

//! Correction of prompt estimates by what engines count.

use crate::types::TokenCount;

/// Correction of an estimate that was right.
const EXACT_PERMILLE: u64 = 1_000;

/// Largest correction.
const MAX_PERMILLE: u64 = 4_000;

/// Part of the way down that one smaller observation moves the correction.
const DECAY_DIVISOR: u64 = 32;

/// Tracks by how much prompts are longer than estimated, in per mille.
///
/// It rises at once and falls slowly, so that memory is rather granted too much than too little.
#[derive(Clone, Copy, Debug)]
pub(super) struct EstimateCorrection {
    permille: u64,
}

impl EstimateCorrection {
    /// Creates the correction of estimates that are taken as right.
    pub(super) fn new() -> Self {
        Self { permille: EXACT_PERMILLE }
    }

    /// Takes in what an engine counted.
    pub(super) fn record(&mut self, estimated: TokenCount, counted: TokenCount) {
        if estimated == 0 || counted == 0 {
            return;
        }
        let seen = counted.saturating_mul(EXACT_PERMILLE).div_ceil(estimated);
        let seen = seen.clamp(EXACT_PERMILLE, MAX_PERMILLE);
        if seen >= self.permille {
            self.permille = seen;
        } else {
            self.permille -= (self.permille - seen).div_ceil(DECAY_DIVISOR);
        }
    }

    /// Returns the corrected length of a prompt.
    pub(super) fn apply(self, estimated: TokenCount) -> TokenCount {
        let corrected = u128::from(estimated) * u128::from(self.permille);
        let corrected = corrected.div_ceil(u128::from(EXACT_PERMILLE));
        TokenCount::try_from(corrected).unwrap_or(TokenCount::MAX)
    }
}

//! Correction of estimated prompt lengths by the token counts of engines.

use crate::types::TokenCount;

/// Correction of an exact estimate.
const EXACT_PERMILLE: u64 = 1_000;

/// Largest correction.
const MAX_PERMILLE: u64 = 4_000;

/// One smaller observation lowers the correction by the difference divided by this number.
const DECAY_DIVISOR: u64 = 32;

/// Tracks the ratio of counted to estimated prompt lengths, in per mille.
///
/// The ratio follows a larger observation immediately and a smaller one slowly, so that grants are
/// too large rather than too small.
#[derive(Clone, Copy, Debug)]
pub(super) struct EstimateCorrection {
    permille: u64,
}

impl EstimateCorrection {
    /// Creates a correction that leaves estimates unchanged.
    pub(super) fn new() -> Self {
        Self { permille: EXACT_PERMILLE }
    }

    /// Records an estimate and the count of the engine; an estimate or count of 0 is ignored.
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

    /// Returns the corrected length of a prompt, in tokens.
    pub(super) fn apply(self, estimated: TokenCount) -> TokenCount {
        let corrected = u128::from(estimated) * u128::from(self.permille);
        let corrected = corrected.div_ceil(u128::from(EXACT_PERMILLE));
        TokenCount::try_from(corrected).unwrap_or(TokenCount::MAX)
    }
}

//! Fixed seeds for stateful fuzzing; `APRICOTKNOT_FUZZ_SEEDS` sets how many of them run.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;

/// Number of seeds that run if the environment variable is not set.
const DEFAULT_SEEDS: u64 = 300;

/// Bytes of random input for each seed.
const INPUT_BYTES: u64 = 4_096;

/// Runs `property` with each seed of the fixed list.
pub(crate) fn run_seeds(property: impl Fn(&mut Unstructured<'_>) -> Result<()>) {
    let count = std::env::var("APRICOTKNOT_FUZZ_SEEDS")
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(DEFAULT_SEEDS);
    for seed in 1..=count {
        let seed = (seed.wrapping_mul(0x9E37_79B1) << 32) | INPUT_BYTES;
        arbtest::arbtest(&property).seed(seed).run();
    }
}

//! Fuzzes membership, configuration, drains and the member list of a simulated fleet.
//!
//! Messages are lost, delayed, reordered and duplicated; nodes pause and restart; links and the
//! key-value service fail. An oracle checks invariants after each step and convergence at the end.

mod faults;
mod fleet;
mod oracle;
mod parts;
mod store;

use std::env;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use crate::faults::apply_event;
use crate::fleet::Fleet;

/// Number of runs by default.
const RUNS: u64 = 24;

/// Bytes of fuzzing input for one run.
const RUN_BYTES: u64 = 512;

/// Environment variable for the number of runs.
const RUNS_VARIABLE: &str = "APRICOTKNOT_FUZZ_RUNS";

/// Environment variable for the number of the first run.
const FIRST_VARIABLE: &str = "APRICOTKNOT_FUZZ_FIRST";

fn env_number(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run_fleet(input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let size = input.int_in_range(2..=8)?;
    let mut fleet = Fleet::new(size, input.arbitrary()?);
    fleet.advance_secs(input.int_in_range(0..=20)?);
    while !input.is_empty() {
        apply_event(&mut fleet, input)?;
    }
    fleet.heal();
    fleet.check_converged();
    Ok(())
}

#[test]
fn fleets_converge_and_never_revert() {
    let first = env_number(FIRST_VARIABLE, 0);
    for run in first..first + env_number(RUNS_VARIABLE, RUNS) {
        let seed = ((run * 0x9e37_79b9 + 1) << 32) | RUN_BYTES;
        println!("run {run}");
        arbtest(run_fleet).seed(seed);
    }
}

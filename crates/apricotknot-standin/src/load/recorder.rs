//! Records of outcomes by length class.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use apricotknot_core::types::ExecutionCertainty;
use apricotknot_core::types::LengthClass;
use hdrhistogram::Histogram;

/// Number of significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Largest value of the histograms: one hour in microseconds; larger values are recorded as it.
const MAX_VALUE_MICROS: u64 = 3_600_000_000;

/// Factor by which a slowdown is multiplied for the histograms, which hold integers.
const SLOWDOWN_SCALE: f64 = 1_000.0;

/// Describes the outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadOutcome {
    /// The answer was complete and correct.
    Answered {
        /// Measured time to the first token.
        first_token: Duration,
        /// Time to the first token on an idle engine.
        ideal_first_token: Duration,
    },
    /// The answer was an error, or the stream ended with an error event.
    Refused(ExecutionCertainty),
    /// The connection broke, or the stream ended early, without an error of the server.
    Broken,
    /// The answer looked complete, and its text was wrong.
    Wrong,
}

/// Holds the outcomes of one class.
struct ClassRecord {
    first_token: Histogram<u64>,
    slowdown: Histogram<u64>,
    answered: u64,
    refused: u64,
    unknown: u64,
    ran_and_failed: u64,
    broken: u64,
    wrong: u64,
}

impl ClassRecord {
    fn new() -> Self {
        Self {
            first_token: new_histogram(),
            slowdown: new_histogram(),
            answered: 0,
            refused: 0,
            unknown: 0,
            ran_and_failed: 0,
            broken: 0,
            wrong: 0,
        }
    }
}

/// Collects outcomes and formats them as Markdown tables.
pub struct LoadRecorder {
    classes: BTreeMap<LengthClass, ClassRecord>,
    refusals: BTreeMap<(LengthClass, String), u64>,
}

impl Default for LoadRecorder {
    fn default() -> Self {
        let classes = LengthClass::ALL.into_iter().map(|class| (class, ClassRecord::new()));
        Self { classes: classes.collect(), refusals: BTreeMap::new() }
    }
}

impl LoadRecorder {
    /// Records the error code of one refusal.
    pub fn record_refusal_code(&mut self, class: LengthClass, code: impl Into<String>) {
        *self.refusals.entry((class, code.into())).or_default() += 1;
    }

    /// Records one outcome.
    pub fn record(&mut self, class: LengthClass, outcome: LoadOutcome) {
        let record = self.classes.entry(class).or_insert_with(ClassRecord::new);
        match outcome {
            LoadOutcome::Answered { first_token, ideal_first_token } => {
                record.answered += 1;
                let micros = u64::try_from(first_token.as_micros()).unwrap_or(u64::MAX);
                record.first_token.saturating_record(micros);
                let ratio = first_token.as_secs_f64() / ideal_first_token.as_secs_f64().max(1e-6);
                record.slowdown.saturating_record((ratio * SLOWDOWN_SCALE) as u64);
            },
            LoadOutcome::Refused(ExecutionCertainty::No) => record.refused += 1,
            LoadOutcome::Refused(ExecutionCertainty::Unknown) => record.unknown += 1,
            LoadOutcome::Refused(ExecutionCertainty::Yes) => record.ran_and_failed += 1,
            LoadOutcome::Broken => record.broken += 1,
            LoadOutcome::Wrong => record.wrong += 1,
        }
    }
}

impl fmt::Display for LoadRecorder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "| class | answered | not run | unknown | ran and failed | broken | wrong \
             | first token p50 ms | p95 | p99 | max | slowdown p50 | p99 |"
        )?;
        writeln!(formatter, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")?;
        for (class, record) in &self.classes {
            write!(
                formatter,
                "| {class} | {} | {} | {} | {} | {} | {} |",
                record.answered,
                record.refused,
                record.unknown,
                record.ran_and_failed,
                record.broken,
                record.wrong,
            )?;
            for quantile in [0.5, 0.95, 0.99, 1.0] {
                let micros = record.first_token.value_at_quantile(quantile);
                write!(formatter, " {:.1} |", micros as f64 / 1_000.0)?;
            }
            let median = record.slowdown.value_at_quantile(0.5) as f64 / SLOWDOWN_SCALE;
            let p99 = record.slowdown.value_at_quantile(0.99) as f64 / SLOWDOWN_SCALE;
            writeln!(formatter, " {median:.2} | {p99:.2} |")?;
        }
        if self.refusals.is_empty() {
            return Ok(());
        }
        writeln!(formatter, "\n| class | code of refusal | count |\n|---|---|---|")?;
        for ((class, code), count) in &self.refusals {
            writeln!(formatter, "| {class} | {code} | {count} |")?;
        }
        Ok(())
    }
}

/// Creates an empty histogram.
pub(super) fn new_histogram() -> Histogram<u64> {
    // The library rejects only bounds and digits outside the ranges that these constants are in.
    Histogram::new_with_bounds(1, MAX_VALUE_MICROS, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|error| unreachable!("the constant bounds are valid: {error}"))
}

//! Tests the resource table with random batches, checked against a log of all writes.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use apricotknot_core::resources::AccountSpec;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceKind;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSpec;
use apricotknot_core::resources::ResourceTable;
use apricotknot_core::resources::ResourceUpdate;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::resources::UpdateState;
use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const NODES: usize = 4;
const INPUT_BYTES: u64 = 2_000;

/// Holds every write that the store accepted, from which the state at any revision is derived.
#[derive(Default)]
struct EventLog(Vec<ResourceUpdate>);

impl EventLog {
    fn newest(&self) -> u64 {
        self.0.len() as u64
    }

    fn write(&mut self, input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let revision = self.newest() + 1;
        let name = *input.choose(&NAMES)?;
        let update = if input.ratio(1, 3)? {
            ResourceUpdate::removed(ResourceKey::new(ResourceKind::Account, name), revision)
        } else {
            let spec = AccountSpec { weight: revision as u32, ..AccountSpec::default() };
            let record = ResourceRecord::new(name, ResourceSpec::Account(spec));
            ResourceUpdate::present(record, revision)
        };
        self.0.push(update);
        Ok(())
    }

    fn batch(&self, base: u64, revision: u64) -> UpdateBatch {
        let updates = self.0[base as usize..revision as usize].iter().rev().cloned().collect();
        UpdateBatch::incremental(base, revision, updates)
    }

    fn state(&self, revision: u64) -> BTreeMap<ResourceKey, ResourceUpdate> {
        let mut state = BTreeMap::new();
        for update in &self.0[..revision as usize] {
            match update.state {
                UpdateState::Present(_) => _ = state.insert(update.key.clone(), update.clone()),
                _ => _ = state.remove(&update.key),
            }
        }
        state
    }

    fn complete(&self, revision: u64) -> UpdateBatch {
        UpdateBatch::complete(revision, self.state(revision).into_values().collect())
    }
}

/// Checks that the table equals the log at its revision, which is at least `min_revision`.
fn check(log: &EventLog, table: &ResourceTable, min_revision: u64) {
    assert!(table.revision() >= min_revision, "the table returned to an older revision");
    let expected = log.state(table.revision());
    let snapshot = table.snapshot();
    let actual = snapshot.iter().map(|(key, versioned)| {
        (key.clone(), ResourceUpdate::present((*versioned.record).clone(), versioned.revision))
    });
    let actual: BTreeMap<_, _> = actual.collect();
    assert_eq!(actual, expected, "the table differs from the log at its revision");
}

/// Applies random batches of the store and of peers to several tables, and checks each table.
fn check_history(input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut log = EventLog::default();
    let mut tables = vec![ResourceTable::new(); NODES];
    while !input.is_empty() {
        let target = input.choose_index(NODES)?;
        let source = input.choose_index(NODES)?;
        let min_revision = tables[target].revision();
        let newest = log.newest();
        let base = input.int_in_range(0..=newest)?;
        let batch = match input.int_in_range(0..=4)? {
            0 => {
                log.write(input)?;
                continue;
            },
            1 => log.complete(base),
            2 => log.batch(base, input.int_in_range(base..=newest)?),
            3 => tables[source].changes_after(min_revision),
            _ => tables[source].changes_after(base),
        };
        let has_gap = batch.base.is_some_and(|base| base > min_revision);
        assert_eq!(tables[target].apply(&batch).is_err(), has_gap);
        check(&log, &tables[target], min_revision);
    }
    for table in &mut tables {
        let min_revision = table.revision();
        table.apply(&log.batch(min_revision, log.newest())).unwrap();
        check(&log, table, min_revision);
        assert_eq!(table.revision(), log.newest());
    }
    Ok(())
}

/// Runs the check for the seeds 1 to `FUZZ_SEEDS`, by default 300.
#[test]
fn a_table_equals_the_log_at_its_revision_and_never_regresses() {
    let seeds = std::env::var("FUZZ_SEEDS").map_or(300, |text| text.parse().unwrap());
    for seed in 1..=seeds {
        arbtest(check_history).seed((seed * 0x9E37_79B9) << 32 | INPUT_BYTES);
    }
}

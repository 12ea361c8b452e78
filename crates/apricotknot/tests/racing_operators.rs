//! Ten operators write two resources concurrently; the store loses answers, delays writes and has
//! outages.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::System;
use apricotknot::operators::ResourceWriter;
use apricotknot::operators::StoredRecord;
use apricotknot::operators::WriteError;
use apricotknot::operators::WriteReceipt;
use apricotknot::store::KeyValueStore;
use apricotknot::store::WriteCertainty;
use apricotknot::store::resource_key;
use apricotknot_core::resources::DataCentreSpec;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceKind;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSpec;
use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use futures::future::join_all;

use support::fake_store::FakeStore;

mod support;

/// Number of concurrent operators.
const OPERATORS: usize = 10;

/// Number of commands that each operator runs.
const COMMANDS: usize = 5;

/// Length of the random input of one run, in bytes.
const INPUT_BYTES: u64 = 2_000;

/// Names of the data centres that the operators change.
const NAMES: [&str; 2] = ["north", "south"];

/// The outcome that was reported to an operator for one write.
///
/// `mark` is the region that only this write sets, so that it can be found in the store's log.
/// `generation` is the one that the write expected.
struct ReportedOutcome {
    mark: String,
    generation: u64,
    outcome: Result<WriteReceipt, WriteError>,
}

async fn run_operator(operator: usize, store: Rc<FakeStore>) -> Vec<ReportedOutcome> {
    let writer = ResourceWriter::new(store.clone()).retry_delay(Duration::ZERO);
    let mut reported = Vec::new();
    for command in 0..COMMANDS {
        let name = NAMES[usize::from(store.choose(2))];
        let key = ResourceKey::new(ResourceKind::DataCentre, name);
        match store.choose(8) {
            0..=4 => {
                let Ok(entry) = store.get(&resource_key(&key)).await else { continue };
                let generation = entry.map_or(0, |entry| entry.mod_revision);
                let mark = format!("m{operator}-{command}");
                let spec = DataCentreSpec { region: mark.as_str().into(), ..Default::default() };
                let mut record = ResourceRecord::new(name, ResourceSpec::DataCentre(spec));
                record.generation = generation;
                reported.push(ReportedOutcome {
                    mark,
                    generation,
                    outcome: writer.put(record).await,
                });
            },
            5 => _ = writer.set_duty(&key, DutyState::Out).await,
            6 => _ = writer.set_duty(&key, DutyState::In).await,
            _ => _ = writer.delete(&key, None).await,
        }
    }
    reported
}

fn read(value: &[u8]) -> StoredRecord {
    serde_json::from_slice(value).unwrap()
}

fn mark_of(stored: &StoredRecord) -> &str {
    match &stored.record.spec {
        ResourceSpec::DataCentre(spec) => &spec.region,
        _ => unreachable!("the test writes only data centres"),
    }
}

/// Checks that each put took effect at most once, and only on the version that its operator had
/// read.
fn check_history(store: &FakeStore, reported: &BTreeMap<&str, &ReportedOutcome>) {
    let mut generations: BTreeMap<_, u64> = BTreeMap::new();
    let mut last_marks: BTreeMap<_, String> = BTreeMap::new();
    let mut marks_seen = BTreeSet::new();
    for write in store.log() {
        let base = generations.get(&write.key).copied().unwrap_or_default();
        let Some(value) = &write.value else {
            generations.insert(write.key, 0);
            continue;
        };
        generations.insert(write.key.clone(), write.revision);
        let stored = read(value);
        let mark = mark_of(&stored).to_owned();
        if last_marks.insert(write.key, mark.clone()).as_deref() == Some(&*mark) && base > 0 {
            continue;
        }
        assert!(marks_seen.insert(mark.clone()), "{mark} took effect twice");
        assert_eq!(
            reported[&*mark].generation, base,
            "{mark} replaced a version that its operator had not read"
        );
    }
}

/// Checks that an accepted write is in the store's log, and that a write reported as not made is
/// not.
fn check_reported(store: &FakeStore, reported: &ReportedOutcome) {
    let log = store.log();
    let stored = log.iter().filter_map(|write| {
        let stored = read(write.value.as_ref()?);
        Some((write.revision, stored))
    });
    let own_writes: Vec<_> =
        stored.filter(|(_, stored)| mark_of(stored) == reported.mark).collect();
    match &reported.outcome {
        Ok(receipt) => {
            let first = own_writes
                .first()
                .unwrap_or_else(|| panic!("{} was accepted but is not stored", reported.mark));
            assert_eq!(
                first.1.record.spec, receipt.record.spec,
                "the stored record differs from the accepted one"
            );
            assert!(first.0 <= receipt.revision, "the reported revision is older than the write");
        },
        Err(WriteError::Conflict { certainty: WriteCertainty::Unknown, .. })
        | Err(WriteError::Unknown(_)) => {},
        Err(error) => {
            assert!(own_writes.is_empty(), "{} was refused but is stored: {error}", reported.mark)
        },
    }
}

fn property(input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let choices = input.bytes(input.len())?.to_vec();
    let store = Rc::new(FakeStore::new(choices));
    let operators = (0..OPERATORS).map(|operator| run_operator(operator, store.clone()));
    let reported = System::new().block_on(join_all(operators));
    store.apply_delayed();
    let reported: BTreeMap<_, _> =
        reported.iter().flatten().map(|reported| (&*reported.mark, reported)).collect();
    check_history(&store, &reported);
    for reported in reported.values() {
        check_reported(&store, reported);
    }
    Ok(())
}

/// Runs the property for the seeds 1 to `FUZZ_SEEDS`; the default is 200.
#[test]
fn no_update_is_lost_and_reported_outcomes_are_true() {
    let seeds = std::env::var("FUZZ_SEEDS").map_or(200, |text| text.parse().unwrap());
    for seed in 1..=seeds {
        arbtest(property).seed((seed * 0x9E37_79B9) << 32 | INPUT_BYTES);
    }
}

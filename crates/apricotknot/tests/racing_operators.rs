//! Ten operators race on two resources over a store that loses answers, delays writes and has outages.

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

const OPERATORS: usize = 10;
const COMMANDS: usize = 5;
const INPUT_BYTES: u64 = 2_000;
const NAMES: [&str; 2] = ["north", "south"];

/// What one operator was told about one of its writes, which carries a region of its own.
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
        _ => unreachable!("only data centres are written"),
    }
}

/// Checks that each put took effect at most once, and on the version that its operator had read.
fn check_history(store: &FakeStore, reported: &BTreeMap<&str, &ReportedOutcome>) {
    let mut held: BTreeMap<_, u64> = BTreeMap::new();
    let mut last_marks: BTreeMap<_, String> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for write in store.log() {
        let base = held.get(&write.key).copied().unwrap_or_default();
        let Some(value) = &write.value else {
            held.insert(write.key, 0);
            continue;
        };
        held.insert(write.key.clone(), write.revision);
        let stored = read(value);
        let mark = mark_of(&stored).to_owned();
        if last_marks.insert(write.key, mark.clone()).as_deref() == Some(&*mark) && base > 0 {
            continue;
        }
        assert!(seen.insert(mark.clone()), "{mark} took effect twice");
        assert_eq!(reported[&*mark].generation, base, "{mark} replaced a version it had not read");
    }
}

fn check_reported(store: &FakeStore, reported: &ReportedOutcome) {
    let log = store.log();
    let stored = log.iter().filter_map(|write| {
        let stored = read(write.value.as_ref()?);
        Some((write.revision, stored))
    });
    let mine: Vec<_> = stored.filter(|(_, stored)| mark_of(stored) == reported.mark).collect();
    match &reported.outcome {
        Ok(receipt) => {
            let first =
                mine.first().unwrap_or_else(|| panic!("{} is accepted, not stored", reported.mark));
            assert_eq!(first.1.record.spec, receipt.record.spec, "another record is stored");
            assert!(first.0 <= receipt.revision, "the revision told is too old");
        },
        Err(WriteError::Conflict { certainty: WriteCertainty::Unknown, .. })
        | Err(WriteError::Unknown(_)) => {},
        Err(error) => {
            assert!(mine.is_empty(), "{} is stored, but was refused: {error}", reported.mark)
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

/// Runs the property for the seeds 1 to `FUZZ_SEEDS`, 200 unless set.
#[test]
fn no_update_is_lost_and_reported_outcomes_are_true() {
    let seeds = std::env::var("FUZZ_SEEDS").map_or(200, |text| text.parse().unwrap());
    for seed in 1..=seeds {
        arbtest(property).seed((seed * 0x9E37_79B9) << 32 | INPUT_BYTES);
    }
}

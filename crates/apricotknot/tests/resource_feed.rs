//! The resource feed over watches that are interrupted, compared with the store's log.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::System;
use apricotknot::store::CallLimits;
use apricotknot::store::FeedEvent;
use apricotknot::store::FeedTiming;
use apricotknot::store::RESOURCE_PREFIX;
use apricotknot::store::ResourceFeed;
use apricotknot_core::resources::ResourceTable;
use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use tokio::sync::mpsc;

use support::fake_store::FakeStore;
use support::flaky_watch::WatchedStore;

mod support;

/// Length of the random input of one run, in bytes.
const INPUT_BYTES: u64 = 600;

/// Names of the accounts that the test writes.
const NAMES: [&str; 3] = ["a", "b", "c"];

/// Number of writes of one run.
const STEPS: usize = 60;

/// Returns the revisions of the resources that existed at a revision of the store.
fn state_at(store: &FakeStore, revision: u64) -> BTreeMap<String, u64> {
    let mut state = BTreeMap::new();
    for write in store.log().into_iter().filter(|write| write.revision <= revision) {
        let key = write.key.strip_prefix(RESOURCE_PREFIX).unwrap().to_owned();
        match write.value {
            Some(_) => _ = state.insert(key, write.revision),
            None => _ = state.remove(&key),
        }
    }
    state
}

fn apply_event(event: FeedEvent, table: &mut ResourceTable, store: &FakeStore) {
    let FeedEvent::Updated(batch) = event else {
        return;
    };
    let before = table.revision();
    table.apply(&batch).unwrap();
    assert!(table.revision() >= before, "the table went back to an older revision");
    let snapshot = table.snapshot();
    let from_table: BTreeMap<_, _> =
        snapshot.iter().map(|(key, found)| (key.to_string(), found.revision)).collect();
    assert_eq!(
        from_table,
        state_at(store, table.revision()),
        "the table differs from the store at the same revision"
    );
}

async fn run_feed(store: Rc<FakeStore>) {
    let (sender, mut events) = mpsc::channel(4);
    let limits = CallLimits {
        initial_backoff: Duration::ZERO,
        max_backoff: Duration::ZERO,
        ..CallLimits::default()
    };
    let timing = FeedTiming { limits, ..FeedTiming::default() };
    let feed = ResourceFeed::new(WatchedStore(store.clone()), timing, sender);
    let feed = actix_rt::spawn(feed.run());
    let mut table = ResourceTable::new();
    for _ in 0..STEPS {
        let name = NAMES[usize::from(store.choose(3))];
        let value = format!(r#"{{"kind": "account", "name": "{name}", "spec": {{}}}}"#);
        let is_put = store.choose(4) < 3;
        let key = format!("{RESOURCE_PREFIX}account/{name}");
        store.write(&key, is_put.then_some(value.as_bytes()));
        for _ in 0..store.choose(6) {
            tokio::task::yield_now().await;
        }
        while let Ok(event) = events.try_recv() {
            apply_event(event, &mut table, &store);
        }
    }
    let newest = store.log().len() as u64;
    while table.revision() < newest {
        apply_event(events.recv().await.unwrap(), &mut table, &store);
    }
    feed.abort();
}

fn property(input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let choices = input.bytes(input.len())?.to_vec();
    System::new().block_on(run_feed(Rc::new(FakeStore::new(choices))));
    Ok(())
}

/// Runs the property for the seeds 1 to `FUZZ_SEEDS`; the default is 100.
#[test]
fn no_update_is_lost_and_none_reverts() {
    let seeds = std::env::var("FUZZ_SEEDS").map_or(100, |text| text.parse().unwrap());
    for seed in 1..=seeds {
        arbtest(property).seed((seed * 0x9E37_79B9) << 32 | INPUT_BYTES);
    }
}

//! Tests of the feed that reads the key-value service, against a store behind a narrow link.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use apricotknot_core::routing::DesiredState;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::RevisionNumber;
use apricotknot_gateway::clock::BootClock;
use apricotknot_gateway::control::FeedEvent;
use apricotknot_gateway::control::StateFeed;
use apricotknot_gateway::control::StoreUpdate;
use apricotknot_gateway::protocol::RecordChange;
use apricotknot_gateway::protocol::RecordTranslator;
use apricotknot_gateway::protocol::TranslationError;
use apricotknot_gateway::store::KeyRange;
use apricotknot_gateway::store::MetadataStore;
use apricotknot_gateway::store::StoreEntry;
use apricotknot_gateway::store::StoreError;
use apricotknot_gateway::store::StoreLease;
use apricotknot_gateway::store::SwapOutcome;
use apricotknot_gateway::store::SwapRequest;
use apricotknot_gateway::store::WatchBatch;
use apricotknot_gateway::store::WatchEvent;
use apricotknot_gateway::store::WatchLimits;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Longest time from the write of a version until it is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Time in which the link carries one version of the configuration.
const TRANSFER_TIME: Duration = Duration::from_millis(230);

/// Interval between two writes of a storm.
const WRITE_INTERVAL: Duration = Duration::from_millis(60);

/// Number of versions that a storm writes.
const STORM_VERSIONS: u64 = 40;

/// Store whose answers cross a link that carries one version in [`TRANSFER_TIME`].
#[derive(Clone, Default)]
struct NarrowStore {
    /// Newest version, which is also the revision.
    written: Rc<Cell<u64>>,
}

impl NarrowStore {
    fn write(&self) {
        self.written.set(self.written.get() + 1);
    }

    fn entry(version: u64) -> StoreEntry {
        StoreEntry {
            key: "configuration".into(),
            value: version.to_be_bytes().to_vec(),
            mod_revision: version,
        }
    }
}

impl MetadataStore for NarrowStore {
    async fn swap(&self, _: &SwapRequest) -> Result<SwapOutcome, StoreError> {
        panic!("the feed only reads")
    }

    async fn grant_lease(&self, _: Duration) -> Result<StoreLease, StoreError> {
        panic!("the feed only reads")
    }

    async fn renew_lease(&self, _: StoreLease) -> Result<bool, StoreError> {
        panic!("the feed only reads")
    }

    async fn revoke_lease(&self, _: StoreLease) -> Result<(), StoreError> {
        panic!("the feed only reads")
    }

    async fn range(&self, _: &str) -> Result<KeyRange, StoreError> {
        let revision = self.written.get();
        let entry = Self::entry(revision);
        sleep(TRANSFER_TIME).await;
        Ok(KeyRange { entries: vec![entry], revision, era: 1 })
    }

    async fn changes(
        &self,
        _: &str,
        after: RevisionNumber,
        limits: WatchLimits,
    ) -> Result<WatchBatch, StoreError> {
        let end = Instant::now() + limits.wait;
        while self.written.get() <= after && Instant::now() < end {
            sleep(Duration::from_millis(5)).await;
        }
        let revision = self.written.get();
        let versions = after + 1..=revision;
        let events: Vec<WatchEvent> =
            versions.map(|version| WatchEvent::Put(Self::entry(version))).collect();
        let transfer = TRANSFER_TIME * u32::try_from(events.len()).expect("few events");
        sleep(transfer.min(limits.transfer)).await;
        if transfer > limits.transfer {
            return Err(StoreError::Backlog { limit: limits.transfer });
        }
        Ok(WatchBatch { revision, era: 1, events, transfer })
    }
}

/// Reads the configuration's version from its value.
struct VersionTranslator;

impl RecordTranslator for VersionTranslator {
    fn translate_put(
        &self,
        _: &str,
        value: &[u8],
        _: MonotonicTime,
    ) -> Result<Option<RecordChange>, TranslationError> {
        let version = u64::from_be_bytes(value.try_into().expect("a version"));
        let desired = DesiredState { version, ..DesiredState::default() };
        Ok(Some(RecordChange::Configuration(Box::new(desired))))
    }

    fn translate_delete(&self, _: &str) -> Option<RecordChange> {
        None
    }
}

fn newest_version(update: &StoreUpdate) -> Option<u64> {
    let versions = update.record_changes.iter().map(|change| match change {
        RecordChange::Configuration(desired) => desired.version,
        other => panic!("unexpected {other:?}"),
    });
    versions.max()
}

/// Returns the time from the last write of a storm until the feed reports that version.
async fn apply_time(store: NarrowStore) -> Duration {
    let (events, mut received) = mpsc::channel(64);
    let node_count = Rc::new(Cell::new(1));
    let feed = StateFeed::new(store.clone(), VersionTranslator, BootClock, events, node_count);
    tokio::task::spawn_local(feed.run());
    for _ in 0..STORM_VERSIONS {
        store.write();
        sleep(WRITE_INTERVAL).await;
    }
    let written_at = Instant::now();
    while let Some(event) = received.recv().await {
        let (FeedEvent::Snapshot { update, .. } | FeedEvent::Changes { update, .. }) = event else {
            continue;
        };
        if newest_version(&update) == Some(STORM_VERSIONS) {
            return written_at.elapsed();
        }
    }
    panic!("the feed has ended")
}

// Guards against a newest version that waits until all older ones have crossed a narrow link.
#[test]
fn newest_version_of_a_storm_does_not_wait_for_older_ones() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let waited = LocalSet::new().block_on(&runtime, apply_time(NarrowStore::default()));
    assert!(waited <= APPLY_LIMIT, "in force after {waited:?}");
}

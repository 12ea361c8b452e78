//! Tests of the feed that reads the key-value service, against stores behind a narrow link and one
//! that comes back from an older copy.

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
use tokio::time::sleep_until;
use tokio::time::timeout_at;

/// Longest time from the write of a version until it is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Time after a silence of connections within which a node has to be in touch again.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// Time beyond the wait of a watch after which the client of the store gives it up.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which the link carries one version of the configuration.
const TRANSFER_TIME: Duration = Duration::from_millis(230);

/// Interval between two writes of a storm.
const WRITE_INTERVAL: Duration = Duration::from_millis(60);

/// Number of versions that a storm writes.
const STORM_VERSIONS: u64 = 40;

/// Calls of a store that a feed makes, for all keys.
#[allow(async_fn_in_trait, reason = "called on one thread")]
trait StoreReads: Clone + 'static {
    async fn range(&self) -> Result<KeyRange, StoreError>;

    async fn changes(
        &self,
        after: RevisionNumber,
        limits: WatchLimits,
    ) -> Result<WatchBatch, StoreError>;

    fn abandon_connections(&self) {}
}

/// A store that is only read.
#[derive(Clone)]
struct ReadStore<R>(R);

impl<R: StoreReads> MetadataStore for ReadStore<R> {
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
        self.0.range().await
    }

    async fn changes(
        &self,
        _: &str,
        after: RevisionNumber,
        limits: WatchLimits,
    ) -> Result<WatchBatch, StoreError> {
        self.0.changes(after, limits).await
    }

    fn abandon_connections(&self) {
        self.0.abandon_connections();
    }
}

/// Starts a feed that reads from `store`; returns the receiver of its events.
fn start_feed<R: StoreReads>(store: R) -> mpsc::Receiver<FeedEvent> {
    let (events, received) = mpsc::channel(64);
    let node_count = Rc::new(Cell::new(1));
    let feed = StateFeed::new(ReadStore(store), VersionTranslator, BootClock, events, node_count);
    tokio::task::spawn_local(feed.run());
    received
}

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

impl StoreReads for NarrowStore {
    async fn range(&self) -> Result<KeyRange, StoreError> {
        let revision = self.written.get();
        let entry = Self::entry(revision);
        sleep(TRANSFER_TIME).await;
        Ok(KeyRange { entries: vec![entry], revision, era: 1 })
    }

    async fn changes(
        &self,
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

    fn translate_configuration(&self, _: &str, _: &[u8]) -> Result<DesiredState, TranslationError> {
        panic!("no node keeps a configuration")
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
    let mut received = start_feed(store.clone());
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

/// Store that comes back from a copy, with other content at the revisions that are known.
#[derive(Clone, Default)]
struct RestoredStore {
    is_restored: Rc<Cell<bool>>,
}

impl RestoredStore {
    /// Returns the revision of the last change and the newest version, which the change before wrote.
    fn content(&self) -> (u64, u64) {
        if self.is_restored.get() { (12, 8) } else { (10, 7) }
    }

    fn era(&self) -> u64 {
        u64::from(self.is_restored.get())
    }
}

impl StoreReads for RestoredStore {
    async fn range(&self) -> Result<KeyRange, StoreError> {
        let (revision, version) = self.content();
        let entries = vec![NarrowStore::entry(version)];
        Ok(KeyRange { entries, revision, era: self.era() })
    }

    async fn changes(
        &self,
        after: RevisionNumber,
        limits: WatchLimits,
    ) -> Result<WatchBatch, StoreError> {
        sleep(limits.wait).await;
        // The version was written below the revision that the node knows.
        let revision = after.max(self.content().0);
        Ok(WatchBatch { revision, era: self.era(), ..WatchBatch::default() })
    }
}

/// Returns whether the feed reports the version that is in the restored store.
async fn reports_restored_version() -> bool {
    let store = RestoredStore::default();
    let mut received = start_feed(store.clone());
    let end = Instant::now() + Duration::from_secs(20);
    while let Ok(Some(event)) = timeout_at(end, received.recv()).await {
        let (FeedEvent::Snapshot { update, .. } | FeedEvent::Changes { update, .. }) = event else {
            continue;
        };
        match newest_version(&update) {
            Some(7) => store.is_restored.set(true),
            Some(8) => return update.is_restored,
            _ => {},
        }
    }
    false
}

// Guards against a watch that goes on over the content of another era.
#[test]
fn store_that_came_back_past_the_known_revision_is_read_anew() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    assert!(LocalSet::new().block_on(&runtime, reports_restored_version()));
}

/// Store whose connections are silent, until the feed opens others.
#[derive(Clone, Default)]
struct SilentStore {
    is_silent: Rc<Cell<bool>>,
    written: Rc<Cell<u64>>,
}

impl StoreReads for SilentStore {
    async fn range(&self) -> Result<KeyRange, StoreError> {
        let revision = self.written.get();
        let entries = (1..=revision).map(NarrowStore::entry).collect();
        Ok(KeyRange { entries, revision, era: 1 })
    }

    async fn changes(
        &self,
        after: RevisionNumber,
        limits: WatchLimits,
    ) -> Result<WatchBatch, StoreError> {
        let end = Instant::now() + limits.wait;
        while !self.is_silent.get() && self.written.get() <= after && Instant::now() < end {
            sleep(Duration::from_millis(5)).await;
        }
        if self.is_silent.get() {
            sleep_until(end + CALL_TIMEOUT).await;
            self.abandon_connections();
            return Err(StoreError::TimedOut { limit: limits.wait + CALL_TIMEOUT });
        }
        let versions = after + 1..=self.written.get();
        let events = versions.map(|version| WatchEvent::Put(NarrowStore::entry(version)));
        let revision = self.written.get();
        Ok(WatchBatch { revision, era: 1, events: events.collect(), ..WatchBatch::default() })
    }

    fn abandon_connections(&self) {
        self.is_silent.set(false);
    }
}

/// Returns the longest time from the silence of all connections until a version that is written
/// right after it is in force.
async fn silent_apply_time() -> Duration {
    let mut longest = Duration::ZERO;
    for step in 0..40 {
        let store = SilentStore::default();
        let mut received = start_feed(store.clone());
        sleep(Duration::from_millis(3_000 + step * 50)).await;
        store.is_silent.set(true);
        let silent_at = Instant::now();
        sleep(Duration::from_millis(10)).await;
        store.written.set(1);
        let end = silent_at + Duration::from_secs(20);
        while let Ok(Some(event)) = timeout_at(end, received.recv()).await {
            let (FeedEvent::Snapshot { update, .. } | FeedEvent::Changes { update, .. }) = event
            else {
                continue;
            };
            if newest_version(&update) == Some(1) {
                break;
            }
        }
        longest = longest.max(silent_at.elapsed());
    }
    longest
}

// Guards against a node that is in touch again while its watch still waits on a silent connection.
#[test]
fn watch_on_a_silent_connection_is_overtaken_in_time() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let waited = LocalSet::new().block_on(&runtime, silent_apply_time());
    assert!(waited <= SILENCE_LIMIT, "in force {waited:?} after the silence");
}

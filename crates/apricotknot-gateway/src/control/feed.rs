//! Follows the key-value service: reads all of it once, then waits for changes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::RevisionNumber;
use rand::RngExt;
use tokio::sync::mpsc;

use super::StoreUpdate;
use super::registry;
use crate::clock::BootClock;
use crate::protocol::RecordTranslator;
use crate::protocol::TranslationError;
use crate::store::MetadataStore;
use crate::store::StoreEntry;
use crate::store::StoreError;
use crate::store::StoreErrorKind;
use crate::store::WatchEvent;

/// Longest time that one call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Shortest time between two calls, so that changes which come bunched are read together.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(300);

/// Longest of these times; a call that is lost takes 2.5 s more, and leaving endpoints have to be
/// known within 3 s.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(400);

/// Part of the time between two calls that each node of the system adds.
///
/// All nodes are woken by each change, and the service answers only so many calls.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(12);

/// Pause after the first failed call.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest pause between failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Failed calls after which everything is read anew.
const FAILURES_BEFORE_RELOAD: u32 = 3;

/// Prefix of all keys.
const ALL_KEYS_PREFIX: &str = "";

/// Tells what was learned from the key-value service.
#[derive(Debug)]
pub enum FeedEvent {
    /// All that the service held.
    Snapshot {
        /// What it held.
        update: StoreUpdate,
        /// Moment at which this was true.
        as_of: MonotonicTime,
    },
    /// What has changed since.
    Changes {
        /// What has changed.
        update: StoreUpdate,
        /// Moment at which nothing else had changed.
        as_of: MonotonicTime,
    },
    /// A record could not be read, and was left out.
    Skipped(TranslationError),
    /// The service cannot be reached.
    Unreachable(StoreError),
}

/// Follows the key-value service for one node.
pub struct StateFeed<S, T> {
    store: S,
    translator: T,
    clock: BootClock,
    events: mpsc::Sender<FeedEvent>,
    /// Number of nodes that follow the service.
    node_count: Rc<Cell<usize>>,
    failures: u32,
}

impl<S: MetadataStore, T: RecordTranslator> StateFeed<S, T> {
    /// Creates the feed that reads from `store`.
    ///
    /// `node_count` is the number of nodes that follow the service, as far as known.
    pub fn new(
        store: S,
        translator: T,
        clock: BootClock,
        events: mpsc::Sender<FeedEvent>,
        node_count: Rc<Cell<usize>>,
    ) -> Self {
        Self { store, translator, clock, events, node_count, failures: 0 }
    }

    /// Follows the service until nobody takes the events any more.
    pub async fn run(mut self) {
        while !self.events.is_closed() {
            let Some(revision) = self.load().await else {
                continue;
            };
            self.watch(revision).await;
        }
    }

    async fn load(&mut self) -> Option<RevisionNumber> {
        let as_of = self.clock.now();
        match self.store.range(ALL_KEYS_PREFIX).await {
            Err(error) => {
                self.report_failure(error).await;
                None
            },
            Ok(range) => {
                self.failures = 0;
                let mut update = StoreUpdate::default();
                for entry in &range.entries {
                    self.read_entry(entry, &mut update).await;
                }
                self.send(FeedEvent::Snapshot { update, as_of }).await;
                Some(range.revision)
            },
        }
    }

    /// Waits for changes after `revision` until history is gone or calls fail.
    async fn watch(&mut self, mut revision: RevisionNumber) {
        while !self.events.is_closed() {
            let sent_at = self.clock.now();
            match self.store.changes(ALL_KEYS_PREFIX, revision, WATCH_TIMEOUT).await {
                Ok(batch) => {
                    self.failures = 0;
                    revision = revision.max(batch.revision);
                    let elapsed = self.clock.now().saturating_sub(sent_at);
                    let as_of = sent_at + confirmed_duration(batch.events.is_empty(), elapsed);
                    self.send_changes(&batch.events, as_of).await;
                    tokio::time::sleep(
                        call_interval(self.node_count.get()).saturating_sub(elapsed),
                    )
                    .await;
                },
                Err(error) if error.kind() == StoreErrorKind::Compacted => return,
                Err(error) => {
                    self.report_failure(error).await;
                    if self.failures >= FAILURES_BEFORE_RELOAD {
                        return;
                    }
                },
            }
        }
    }

    async fn send_changes(&mut self, events: &[WatchEvent], as_of: MonotonicTime) {
        let mut update = StoreUpdate::default();
        for event in events {
            match event {
                WatchEvent::Put(entry) => self.read_entry(entry, &mut update).await,
                WatchEvent::Delete { key, .. } => {
                    update.record_changes.extend(self.translator.translate_delete(key));
                    update.registry_changes.extend(registry::parse_delete(key));
                },
            }
        }
        self.send(FeedEvent::Changes { update, as_of }).await;
    }

    async fn read_entry(&self, entry: &StoreEntry, update: &mut StoreUpdate) {
        update.registry_changes.extend(registry::parse_put(&entry.key, &entry.value));
        match self.translator.translate_put(&entry.key, &entry.value, self.clock.now()) {
            Ok(record) => update.record_changes.extend(record),
            Err(error) => self.send(FeedEvent::Skipped(error)).await,
        }
    }

    async fn report_failure(&mut self, error: StoreError) {
        let retry_delay = FIRST_RETRY_DELAY * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.send(FeedEvent::Unreachable(error)).await;
        // Nodes that lost the service together do not come back together.
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(retry_delay.min(MAX_RETRY_DELAY).mul_f64(jitter)).await;
    }

    async fn send(&self, event: FeedEvent) {
        // A closed channel means that the node stops; the loops look for that.
        let _ = self.events.send(event).await;
    }
}

/// Returns the shortest time between two calls of one of `node_count` nodes.
fn call_interval(node_count: usize) -> Duration {
    let node_count = u32::try_from(node_count).unwrap_or(u32::MAX);
    INTERVAL_PER_NODE.saturating_mul(node_count).clamp(MIN_CALL_INTERVAL, MAX_CALL_INTERVAL)
}

/// Returns how long after a call was sent its answer was surely true.
///
/// The service answers with nothing only after it has waited, and with changes at any time.
fn confirmed_duration(is_empty: bool, elapsed: Duration) -> Duration {
    if is_empty && elapsed >= WATCH_TIMEOUT { WATCH_TIMEOUT } else { Duration::ZERO }
}

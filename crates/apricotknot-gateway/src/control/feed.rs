//! Reader of the key-value service: it reads all keys once, then watches for changes.

use std::cell::Cell;
use std::collections::HashSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::RevisionNumber;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::StoreUpdate;
use super::registry;
use crate::clock::BootClock;
use crate::protocol::RecordChange;
use crate::protocol::RecordTranslator;
use crate::protocol::TranslationError;
use crate::store::EraNumber;
use crate::store::MetadataStore;
use crate::store::StoreEntry;
use crate::store::StoreError;
use crate::store::StoreErrorKind;
use crate::store::WatchBatch;
use crate::store::WatchEvent;
use crate::store::WatchLimits;

/// Longest time that one watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Limits of one watch call.
///
/// The answer holds every version of each key. When it takes longer than the limit, the node reads
/// all keys, and so skips the versions between.
const WATCH_LIMITS: WatchLimits =
    WatchLimits { wait: WATCH_TIMEOUT, transfer: Duration::from_millis(700) };

/// Limits of a call that asks for the changes so far: whether the service can be reached again, or
/// whether only the connection of a watch has gone silent.
const CHECK_LIMITS: WatchLimits =
    WatchLimits { wait: Duration::from_millis(1), transfer: WATCH_LIMITS.transfer };

/// Time after the wait of a watch from which its connection is suspected to have gone silent.
const WATCH_OVERDUE: Duration = Duration::from_millis(500);

/// Shortest interval between two calls, so that changes in quick succession are read together.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(300);

/// Longest interval between two calls, unless [`StateFeed::max_interval`] sets another one.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(400);

/// Time by which each node of the fleet lengthens the interval between two calls.
///
/// Each change wakes the watches of all nodes, and the service answers a limited number of calls
/// per second.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(12);

/// Delay after the first failed call; it doubles with each further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Number of consecutive failed calls after which all keys are read again.
const FAILURES_BEFORE_RELOAD: u32 = 3;

/// Prefix that matches all keys.
const ALL_KEYS_PREFIX: &str = "";

/// Reports what was read from the key-value service.
#[derive(Debug)]
pub enum FeedEvent {
    /// Complete content of the service.
    Snapshot {
        /// Records that it held.
        update: StoreUpdate,
        /// Time at which the content was current.
        as_of: MonotonicTime,
    },
    /// Changes since the last event.
    Changes {
        /// Records that were written or removed.
        update: StoreUpdate,
        /// Time at which there were no other changes.
        as_of: MonotonicTime,
        /// How the changes arrived.
        delivery: BatchDelivery,
    },
    /// The service has come back from an older copy.
    Restored {
        /// Era that was known before.
        held: EraNumber,
        /// Era of the service.
        found: EraNumber,
    },
    /// A record could not be read and was skipped.
    Skipped(TranslationError),
    /// The changes cannot be read one by one; all keys are read instead.
    Reloading(StoreError),
    /// The answer to a watch is overdue; the service is asked on a new connection too.
    Overdue,
    /// A call of the service failed.
    Unreachable(StoreError),
}

/// Describes how the changes of one watch call arrived, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BatchDelivery {
    /// Number of changes that a later change of the same key in the batch supersedes.
    pub superseded: usize,
    /// Time from the head of the answer to its last byte.
    pub transfer: Duration,
}

/// Changes with the time at which they were asked for.
struct TimedBatch {
    batch: WatchBatch,
    sent_at: MonotonicTime,
}

/// Reads the key-value service for one node, and sends what it reads to the control thread.
pub struct StateFeed<S, T> {
    store: S,
    translator: T,
    clock: BootClock,
    events: mpsc::Sender<FeedEvent>,
    /// Number of nodes that watch the service; the control thread updates it.
    node_count: Rc<Cell<usize>>,
    max_interval: Duration,
    failures: u32,
    /// Era of the last answer, if there was one.
    era: Option<EraNumber>,
    /// Whether the service has come back from a copy since all keys were read.
    is_restored: bool,
}

impl<S: MetadataStore, T: RecordTranslator> StateFeed<S, T> {
    /// Creates the feed that reads from `store` and sends to `events`.
    ///
    /// `node_count` is the number of nodes that are known to watch the service.
    pub fn new(
        store: S,
        translator: T,
        clock: BootClock,
        events: mpsc::Sender<FeedEvent>,
        node_count: Rc<Cell<usize>>,
    ) -> Self {
        Self {
            store,
            translator,
            clock,
            events,
            node_count,
            max_interval: MAX_CALL_INTERVAL,
            failures: 0,
            era: None,
            is_restored: false,
        }
    }

    /// Sets the longest interval between two calls, to which it grows with the number of nodes.
    pub fn max_interval(mut self, interval: Duration) -> Self {
        self.max_interval = interval.max(MIN_CALL_INTERVAL);
        self
    }

    /// Reads and watches the service until the receiver of the events is closed.
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
                self.observe_era(range.era).await;
                let is_restored = std::mem::take(&mut self.is_restored);
                let mut update =
                    StoreUpdate { era: range.era, is_restored, ..StoreUpdate::default() };
                for entry in &range.entries {
                    self.read_entry(entry, &mut update).await;
                }
                self.send(FeedEvent::Snapshot { update, as_of }).await;
                Some(range.revision)
            },
        }
    }

    /// Watches for changes after `revision`, until all keys have to be read again: the revision is
    /// compacted, there are too many changes, several calls have failed, or the service has come back
    /// from a copy.
    async fn watch(&mut self, mut revision: RevisionNumber) {
        while !self.events.is_closed() {
            let answer = match self.failures {
                0 => self.watch_once(revision).await,
                // A watch would wait before it shows that the service answers again.
                _ => self.read_changes(revision, CHECK_LIMITS).await,
            };
            match answer {
                Ok(TimedBatch { batch, sent_at }) => {
                    self.failures = 0;
                    if self.observe_era(batch.era).await {
                        // The revision identifies another state in this era.
                        return;
                    }
                    revision = revision.max(batch.revision);
                    let elapsed = self.clock.now().saturating_sub(sent_at);
                    let as_of = sent_at + confirmed_duration(batch.events.is_empty(), elapsed);
                    self.send_changes(&batch, as_of).await;
                    tokio::time::sleep(self.call_interval().saturating_sub(elapsed)).await;
                },
                Err(error)
                    if matches!(
                        error.kind(),
                        StoreErrorKind::Backlog | StoreErrorKind::Compacted
                    ) =>
                {
                    return self.send(FeedEvent::Reloading(error)).await;
                },
                Err(error) => {
                    self.report_failure(error).await;
                    if self.failures >= FAILURES_BEFORE_RELOAD {
                        return;
                    }
                },
            }
        }
    }

    /// Waits for changes after `revision`.
    ///
    /// An open connection is no evidence that it works. When the answer is overdue, the service is
    /// asked on a new connection too, and the first answer counts.
    async fn watch_once(&self, revision: RevisionNumber) -> Result<TimedBatch, StoreError> {
        let mut watch = pin!(self.read_changes(revision, WATCH_LIMITS));
        if let Ok(answer) = timeout(WATCH_TIMEOUT + WATCH_OVERDUE, &mut watch).await {
            return answer;
        }
        self.send(FeedEvent::Overdue).await;
        self.store.abandon_connections();
        tokio::select! {
            answer = &mut watch => answer,
            Ok(batch) = self.read_changes(revision, CHECK_LIMITS) => Ok(batch),
        }
    }

    async fn read_changes(
        &self,
        revision: RevisionNumber,
        limits: WatchLimits,
    ) -> Result<TimedBatch, StoreError> {
        let sent_at = self.clock.now();
        let batch = self.store.changes(ALL_KEYS_PREFIX, revision, limits).await?;
        Ok(TimedBatch { batch, sent_at })
    }

    /// Records the era of an answer; returns whether the service has come back from a copy since
    /// the one before.
    async fn observe_era(&mut self, found: EraNumber) -> bool {
        match self.era.replace(found).filter(|held| *held != found) {
            Some(held) => {
                self.is_restored = true;
                self.send(FeedEvent::Restored { held, found }).await;
                true
            },
            None => false,
        }
    }

    async fn send_changes(&mut self, batch: &WatchBatch, as_of: MonotonicTime) {
        let mut update = StoreUpdate { era: batch.era, ..StoreUpdate::default() };
        for event in &batch.events {
            match event {
                WatchEvent::Put(entry) => self.read_entry(entry, &mut update).await,
                WatchEvent::Delete { key, .. } => {
                    update.record_changes.extend(self.translator.translate_delete(key));
                    update.registry_changes.extend(registry::parse_delete(key));
                },
            }
        }
        let keys: HashSet<&str> = batch.events.iter().map(WatchEvent::key).collect();
        let superseded = batch.events.len() - keys.len();
        let delivery = BatchDelivery { superseded, transfer: batch.transfer };
        self.send(FeedEvent::Changes { update, as_of, delivery }).await;
    }

    async fn read_entry(&self, entry: &StoreEntry, update: &mut StoreUpdate) {
        if registry::is_configuration_key(&entry.key) {
            return self.read_kept_configuration(entry, update).await;
        }
        update.registry_changes.extend(registry::parse_put(&entry.key, &entry.value));
        match self.translator.translate_put(&entry.key, &entry.value, self.clock.now()) {
            Ok(record) => update.record_changes.extend(record),
            Err(error) => self.send(FeedEvent::Skipped(error)).await,
        }
    }

    async fn read_kept_configuration(&self, entry: &StoreEntry, update: &mut StoreUpdate) {
        match self.translator.translate_configuration(&entry.key, &entry.value) {
            Ok(desired) => {
                update.record_changes.push(RecordChange::KeptConfiguration(Box::new(desired)));
            },
            Err(error) => self.send(FeedEvent::Skipped(error)).await,
        }
    }

    async fn report_failure(&mut self, error: StoreError) {
        let retry_delay = FIRST_RETRY_DELAY * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.send(FeedEvent::Unreachable(error)).await;
        // The jitter spreads the calls of nodes that lost the service at the same time.
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(retry_delay.min(MAX_RETRY_DELAY).mul_f64(jitter)).await;
    }

    /// Returns the shortest time between two calls of this node.
    fn call_interval(&self) -> Duration {
        let node_count = u32::try_from(self.node_count.get()).unwrap_or(u32::MAX);
        let interval = INTERVAL_PER_NODE.saturating_mul(node_count);
        interval.clamp(MIN_CALL_INTERVAL, self.max_interval)
    }

    async fn send(&self, event: FeedEvent) {
        // A closed channel means that the node stops; the loops check for it.
        let _ = self.events.send(event).await;
    }
}

/// Returns the time after the start of a call up to which its answer is known to be complete.
///
/// The service sends an empty answer only after the full wait; it can send changes at any time.
fn confirmed_duration(is_empty: bool, elapsed: Duration) -> Duration {
    if is_empty && elapsed >= WATCH_TIMEOUT { WATCH_TIMEOUT } else { Duration::ZERO }
}

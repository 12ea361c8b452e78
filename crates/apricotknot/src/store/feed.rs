//! Feed of the resources in the key-value service.

use std::time::Duration;

use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceUpdate;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::types::RevisionNumber;
use futures::StreamExt;
use tokio::sync::mpsc;

use super::CallLimits;
use super::KeyValueStore;
use super::StoreEntry;
use super::StoreError;
use super::StoreErrorKind;
use super::WatchBatch;
use super::WatchEvent;

/// Prefix of the keys under which resources are stored.
pub const RESOURCE_PREFIX: &str = "/apricotknot/resources/";

/// Returns the key under which the resource is stored.
pub fn resource_key(key: &ResourceKey) -> String {
    format!("{RESOURCE_PREFIX}{}/{}", key.kind, key.name)
}

/// Reports a change of the resources, or a failure to read them.
#[derive(Clone, Debug)]
pub enum FeedEvent {
    /// Resources changed or were loaded; the receiver applies the batch to its resource table.
    Updated(UpdateBatch),
    /// The store cannot be read; the feed retries after a back-off.
    Interrupted(StoreError),
    /// A stored resource cannot be parsed and is skipped; its last valid version stays in force.
    Skipped {
        /// Key under which the resource is stored.
        key: String,
        /// Revision of the write that stored it.
        revision: RevisionNumber,
        /// Why it cannot be parsed.
        reason: String,
    },
}

/// Time limits and back-off of the feed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FeedTiming {
    /// Longest duration of one watch, varied at random by up to a fifth either way.
    ///
    /// The watch is then opened again, in case its connection failed without an error.
    pub max_watch_duration: Duration,
    /// Limits that determine the back-off between attempts.
    pub limits: CallLimits,
}

impl Default for FeedTiming {
    fn default() -> Self {
        Self { max_watch_duration: Duration::from_secs(60), limits: CallLimits::default() }
    }
}

/// Loads all resources, then sends their changes until the receiver is dropped.
pub struct ResourceFeed<S> {
    store: S,
    timing: FeedTiming,
    sender: mpsc::Sender<FeedEvent>,
    followed_revision: Option<RevisionNumber>,
    newest_revision: RevisionNumber,
}

/// Reports that the receiver of the feed was dropped.
struct ReceiverClosed;

impl<S: KeyValueStore> ResourceFeed<S> {
    /// Creates a feed that sends its events to `sender`.
    pub fn new(store: S, timing: FeedTiming, sender: mpsc::Sender<FeedEvent>) -> Self {
        Self { store, timing, sender, followed_revision: None, newest_revision: 0 }
    }

    /// Runs until the receiver is dropped.
    pub async fn run(mut self) {
        let mut failures = 0;
        loop {
            let before = self.followed_revision;
            match self.follow_watch().await {
                Err(ReceiverClosed) => return,
                Ok(Ok(())) => failures = 0,
                Ok(Err(error)) => {
                    failures = if self.followed_revision == before { failures + 1 } else { 1 };
                    if error.kind() == StoreErrorKind::Compacted {
                        self.followed_revision = None;
                    }
                    if self.send(FeedEvent::Interrupted(error)).await.is_err() {
                        return;
                    }
                    let backoff = self.timing.limits.jittered_backoff(failures);
                    actix_rt::time::sleep(backoff).await;
                },
            }
        }
    }

    /// Runs one watch until it ends; loads all resources first if that has not been done.
    async fn follow_watch(&mut self) -> Result<Result<(), StoreError>, ReceiverClosed> {
        let followed_revision = match self.followed_revision {
            Some(followed_revision) => followed_revision,
            None => match self.store.range(RESOURCE_PREFIX).await {
                Ok(range) if range.revision < self.newest_revision => {
                    let (held, found) = (self.newest_revision, range.revision);
                    return Ok(Err(StoreError::Reverted { held, found }));
                },
                Ok(range) => {
                    let revision = range.revision;
                    self.send_snapshot(range.entries, revision).await?;
                    revision
                },
                Err(error) => return Ok(Err(error)),
            },
        };
        self.followed_revision = Some(followed_revision);
        self.newest_revision = self.newest_revision.max(followed_revision);
        let mut watch = match self.store.watch(RESOURCE_PREFIX, followed_revision + 1).await {
            Ok(watch) => watch,
            Err(error) => return Ok(Err(error)),
        };
        let term = self.timing.max_watch_duration.mul_f64(rand::random_range(0.8..1.2));
        let end = actix_rt::time::Instant::now() + term;
        let sender = self.sender.clone();
        loop {
            let next = tokio::select! {
                next = actix_rt::time::timeout(end - actix_rt::time::Instant::now(), watch.next()) => next,
                () = sender.closed() => return Err(ReceiverClosed),
            };
            match next {
                Err(_) | Ok(None) => return Ok(Ok(())),
                Ok(Some(Err(error))) => return Ok(Err(error)),
                Ok(Some(Ok(batch))) => self.send_batch(batch).await?,
            }
        }
    }

    /// Sends all resources as of `revision`.
    async fn send_snapshot(
        &mut self,
        entries: Vec<StoreEntry>,
        revision: RevisionNumber,
    ) -> Result<(), ReceiverClosed> {
        let mut updates = Vec::with_capacity(entries.len());
        for entry in entries {
            updates.extend(self.parse_entry(entry).await?);
        }
        self.send(FeedEvent::Updated(UpdateBatch::complete(revision, updates))).await
    }

    /// Sends the changes of one batch of the watch, and records its revision as followed.
    async fn send_batch(&mut self, batch: WatchBatch) -> Result<(), ReceiverClosed> {
        let base = self.followed_revision.unwrap_or_default();
        let revision = batch.revision.max(base);
        let mut updates = Vec::with_capacity(batch.events.len());
        for event in batch.events {
            match event {
                WatchEvent::Put(entry) => updates.extend(self.parse_entry(entry).await?),
                WatchEvent::Delete { key, revision } => {
                    let key = parse_key(&key);
                    updates.extend(key.map(|key| ResourceUpdate::removed(key, revision)));
                },
            }
        }
        self.followed_revision = Some(revision);
        self.newest_revision = self.newest_revision.max(revision);
        self.send(FeedEvent::Updated(UpdateBatch::incremental(base, revision, updates))).await
    }

    /// Parses a stored resource; an invalid one is reported as skipped and returned as unreadable.
    async fn parse_entry(
        &self,
        entry: StoreEntry,
    ) -> Result<Option<ResourceUpdate>, ReceiverClosed> {
        let revision = entry.mod_revision;
        match parse_record(&entry) {
            Ok(record) => Ok(Some(ResourceUpdate::present(record, revision))),
            Err(reason) => {
                let key = entry.key.to_string();
                self.send(FeedEvent::Skipped { key, revision, reason: reason.to_string() }).await?;
                Ok(parse_key(&entry.key).map(|key| ResourceUpdate::unreadable(key, revision)))
            },
        }
    }

    async fn send(&self, event: FeedEvent) -> Result<(), ReceiverClosed> {
        self.sender.send(event).await.map_err(|_| ReceiverClosed)
    }
}

fn parse_record(entry: &StoreEntry) -> Result<ResourceRecord, serde_json::Error> {
    serde_json::from_slice(&entry.value)
}

/// Returns the resource that a store key stands for, or `None` if the key is not of a resource.
fn parse_key(key: &str) -> Option<ResourceKey> {
    key.strip_prefix(RESOURCE_PREFIX)?.parse().ok()
}

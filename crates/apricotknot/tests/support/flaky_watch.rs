//! An in-memory store whose watches fail, end, lag and request compacted revisions.

#![allow(dead_code)]

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use apricotknot::store::KeyRange;
use apricotknot::store::KeyValueStore;
use apricotknot::store::LeaseId;
use apricotknot::store::StoreEntry;
use apricotknot::store::StoreError;
use apricotknot::store::SwapOutcome;
use apricotknot::store::SwapRequest;
use apricotknot::store::WatchBatch;
use apricotknot::store::WatchEvent;
use futures::Stream;

use super::fake_store::AppliedWrite;
use super::fake_store::FakeStore;

/// Adds flaky watches to a [`FakeStore`].
#[derive(Clone)]
pub(crate) struct WatchedStore(pub(crate) Rc<FakeStore>);

/// Yields the writes from a revision on in small batches, until a choice ends or fails it.
pub(crate) struct FlakyWatch {
    store: Rc<FakeStore>,
    next: usize,
    has_ended: bool,
}

impl Stream for FlakyWatch {
    type Item = Result<WatchBatch, StoreError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let watch = &mut *self;
        context.waker().wake_by_ref();
        match watch.store.choose(16) {
            12 | 13 => return Poll::Pending,
            14 => watch.has_ended = true,
            15 => {
                watch.has_ended = true;
                let (address, reason) = ("fake".to_owned(), "cut".to_owned());
                return Poll::Ready(Some(Err(StoreError::Broken { address, reason })));
            },
            _ => {},
        }
        if watch.has_ended {
            return Poll::Ready(None);
        }
        let log = watch.store.log();
        let count = usize::from(watch.store.choose(4)) + 1;
        let events: Vec<_> = log.iter().skip(watch.next).take(count).map(watch_event).collect();
        if events.is_empty() {
            return Poll::Pending;
        }
        watch.next += events.len();
        let batch = WatchBatch { revision: watch.next as u64, events, ..WatchBatch::default() };
        Poll::Ready(Some(Ok(batch)))
    }
}

fn watch_event(write: &AppliedWrite) -> WatchEvent {
    match &write.value {
        None => WatchEvent::Delete { key: write.key.clone(), revision: write.revision },
        Some(value) => WatchEvent::Put(StoreEntry {
            key: write.key.clone(),
            value: value.clone(),
            mod_revision: write.revision,
        }),
    }
}

impl KeyValueStore for WatchedStore {
    type Watch = FlakyWatch;

    async fn swap(&self, request: &SwapRequest) -> Result<SwapOutcome, StoreError> {
        self.0.swap(request).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.0.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.0.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.0.revoke_lease(lease).await
    }

    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.0.get(key).await
    }

    async fn range(&self, prefix: &str) -> Result<KeyRange, StoreError> {
        self.0.range(prefix).await
    }

    async fn watch(&self, _prefix: &str, from: u64) -> Result<FlakyWatch, StoreError> {
        if self.0.choose(8) == 7 {
            return Err(StoreError::Compacted { revision: from, oldest: from + 1 });
        }
        let next = usize::try_from(from).unwrap_or_default().saturating_sub(1);
        Ok(FlakyWatch { store: self.0.clone(), next, has_ended: false })
    }
}

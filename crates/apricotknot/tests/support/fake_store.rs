//! An in-memory key-value store that loses answers, delays writes and has outages.

#![allow(dead_code)]

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use apricotknot::store::ExpectedRevision;
use apricotknot::store::KeyRange;
use apricotknot::store::KeyValueStore;
use apricotknot::store::LeaseId;
use apricotknot::store::StoreEntry;
use apricotknot::store::StoreError;
use apricotknot::store::SwapOutcome;
use apricotknot::store::SwapRequest;
use apricotknot::store::WatchBatch;
use futures::stream::Pending;
use futures::stream::pending;

/// A write that was applied to the store.
#[derive(Clone, Debug)]
pub(crate) struct AppliedWrite {
    pub(crate) key: Arc<str>,
    pub(crate) revision: u64,
    pub(crate) value: Option<Vec<u8>>,
}

/// Injects faults according to a list of choices; without faults once the list is used up.
///
/// The test chooses the list, so a failed run can be repeated.
#[derive(Default)]
pub(crate) struct FakeStore {
    choices: Vec<u8>,
    used_choices: Cell<usize>,
    entries: RefCell<BTreeMap<Arc<str>, StoreEntry>>,
    log: RefCell<Vec<AppliedWrite>>,
    delayed: RefCell<Vec<SwapRequest>>,
    is_randomly_down: Cell<bool>,
    is_set_down: Cell<bool>,
}

impl FakeStore {
    pub(crate) fn new(choices: Vec<u8>) -> Self {
        Self { choices, ..Self::default() }
    }

    /// Returns the next choice below `count`, or 0 once the list is used up.
    pub(crate) fn choose(&self, count: u8) -> u8 {
        let used_choices = self.used_choices.get();
        self.used_choices.set(used_choices + 1);
        self.choices.get(used_choices).map_or(0, |choice| choice % count)
    }

    /// Makes every call fail as unreachable, until it is set to false.
    pub(crate) fn set_down(&self, is_down: bool) {
        self.is_set_down.set(is_down);
    }

    /// Applies a write immediately, whatever the key holds. A value of `None` deletes the key.
    pub(crate) fn write(&self, key: &str, value: Option<&[u8]>) {
        let held = self.entries.borrow().get(key).map(|entry| entry.mod_revision);
        let request = match (held, value) {
            (None, Some(value)) => SwapRequest::create(key, value),
            (Some(at), Some(value)) => SwapRequest::replace(key, at, value),
            (Some(at), None) => SwapRequest::delete(key, at),
            (None, None) => return,
        };
        let _ = self.apply(&request);
    }

    /// Returns all applied writes in the order of their revisions.
    pub(crate) fn log(&self) -> Vec<AppliedWrite> {
        self.log.borrow().clone()
    }

    /// Applies all delayed writes whose expected revision still holds.
    pub(crate) fn apply_delayed(&self) {
        for request in self.delayed.take() {
            let _ = self.apply(&request);
        }
    }

    /// Applies a write if the key has the expected revision.
    fn apply(&self, request: &SwapRequest) -> SwapOutcome {
        let mut entries = self.entries.borrow_mut();
        let mut log = self.log.borrow_mut();
        let current = entries.get(&request.key).cloned();
        let is_expected = match request.expected {
            ExpectedRevision::Absent => current.is_none(),
            ExpectedRevision::At(at) => {
                current.as_ref().is_some_and(|held| held.mod_revision == at)
            },
        };
        if !is_expected {
            return SwapOutcome::Conflict { current, revision: log.len() as u64 };
        }
        let revision = log.len() as u64 + 1;
        let key = request.key.clone();
        let value = request.value.clone();
        match &value {
            None => _ = entries.remove(&key),
            Some(value) => {
                let value = value.clone();
                let entry = StoreEntry { key: key.clone(), value, mod_revision: revision };
                entries.insert(key.clone(), entry);
            },
        }
        log.push(AppliedWrite { key, revision, value });
        SwapOutcome::Written { revision }
    }

    /// Yields a chosen number of times, and may apply the oldest delayed write.
    async fn simulate_latency(&self) {
        for _ in 0..self.choose(4) {
            YieldOnce(false).await;
        }
        if !self.delayed.borrow().is_empty() && self.choose(3) == 1 {
            let request = self.delayed.borrow_mut().remove(0);
            let _ = self.apply(&request);
        }
    }

    /// Fails during an outage; a choice may start or end one.
    fn check_reachable(&self) -> Result<(), StoreError> {
        if self.choose(50) == 49 {
            self.is_randomly_down.set(!self.is_randomly_down.get());
        }
        let are_choices_used_up = self.used_choices.get() >= self.choices.len();
        if self.is_set_down.get() || (self.is_randomly_down.get() && !are_choices_used_up) {
            let (address, reason) = ("fake".to_owned(), "down".to_owned());
            return Err(StoreError::Unreachable { address, reason });
        }
        Ok(())
    }
}

impl KeyValueStore for FakeStore {
    type Watch = Pending<Result<WatchBatch, StoreError>>;

    async fn swap(&self, request: &SwapRequest) -> Result<SwapOutcome, StoreError> {
        self.simulate_latency().await;
        self.check_reachable()?;
        let lost = StoreError::TimedOut { limit: Duration::ZERO };
        match self.choose(8) {
            5 => {
                let _ = self.apply(request);
                self.simulate_latency().await;
                Err(lost)
            },
            6 => Err(lost),
            7 => {
                self.delayed.borrow_mut().push(request.clone());
                self.simulate_latency().await;
                Err(lost)
            },
            _ => {
                let outcome = self.apply(request);
                self.simulate_latency().await;
                Ok(outcome)
            },
        }
    }

    async fn grant_lease(&self, _ttl: Duration) -> Result<LeaseId, StoreError> {
        Ok(1)
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<Duration, StoreError> {
        Ok(Duration::from_secs(10))
    }

    async fn revoke_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }

    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.simulate_latency().await;
        self.check_reachable()?;
        let entry = self.entries.borrow().get(key).cloned();
        self.simulate_latency().await;
        Ok(entry)
    }

    async fn range(&self, prefix: &str) -> Result<KeyRange, StoreError> {
        self.simulate_latency().await;
        self.check_reachable()?;
        let entries = self.entries.borrow();
        let entries = entries.values().filter(|entry| entry.key.starts_with(prefix));
        Ok(KeyRange {
            era: 0,
            entries: entries.cloned().collect(),
            revision: self.log.borrow().len() as u64,
        })
    }

    async fn watch(&self, _prefix: &str, _from: u64) -> Result<Self::Watch, StoreError> {
        Ok(pending())
    }
}

/// Yields to the executor once, then completes.
struct YieldOnce(bool);

impl Future for YieldOnce {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if std::mem::replace(&mut self.0, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

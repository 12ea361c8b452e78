//! Limits the calls of one node to the key-value service, and retries failed reads.

use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::types::RevisionNumber;

use super::CallBudget;
use super::KeyRange;
use super::KeyValueStore;
use super::LeaseId;
use super::StoreEntry;
use super::StoreError;
use super::StoreErrorKind;
use super::SwapOutcome;
use super::SwapRequest;

/// Largest number of attempts of one read, including the first.
const MAX_READ_ATTEMPTS: u32 = 3;

/// Limits of the calls of one node to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallLimits {
    /// Largest number of calls per second, on average.
    pub calls_per_second: u32,
    /// Largest number of calls in a burst after a time without calls.
    pub burst_calls: u32,
    /// Back-off after the first of consecutive failures; doubles with each further failure.
    pub initial_backoff: Duration,
    /// Longest back-off.
    pub max_backoff: Duration,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            calls_per_second: 20,
            burst_calls: 100,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(5),
        }
    }
}

/// Wraps a store with a call budget, and retries of reads with a jittered back-off.
///
/// Writes are never retried, because only the caller can tell whether a retry is safe.
pub struct BudgetedStore<S> {
    store: S,
    budget: Arc<CallBudget>,
}

impl<S: KeyValueStore> BudgetedStore<S> {
    /// Wraps `store`; all clients of one node share `budget`.
    pub fn new(store: S, budget: impl Into<Arc<CallBudget>>) -> Self {
        Self { store, budget: budget.into() }
    }

    /// Records the outcome of a call in the budget and returns it.
    fn record_outcome<T>(&self, answer: Result<T, StoreError>) -> Result<T, StoreError> {
        self.budget.record_outcome(answer.as_ref().err());
        answer
    }

    /// Waits for the back-off after the given number of consecutive failures.
    async fn back_off(&self, failures: u32) {
        actix_rt::time::sleep(self.budget.limits().jittered_backoff(failures)).await;
    }
}

impl CallLimits {
    /// Returns a random back-off after the given number of consecutive failures.
    ///
    /// The initial back-off doubles with each failure after the first, up to the longest back-off;
    /// the result lies between half of that and all of it.
    pub fn jittered_backoff(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let full = self.initial_backoff.saturating_mul(1 << doublings).min(self.max_backoff);
        full.mul_f64(rand::random_range(0.5..1.0))
    }
}

/// Returns whether a read may succeed if it is sent again.
fn is_retryable(error: &StoreError) -> bool {
    matches!(error.kind(), StoreErrorKind::Unavailable | StoreErrorKind::TimedOut)
}

impl<S: KeyValueStore> KeyValueStore for BudgetedStore<S> {
    type Watch = S::Watch;

    async fn swap(&self, request: &SwapRequest) -> Result<SwapOutcome, StoreError> {
        self.budget.try_spend()?;
        self.record_outcome(self.store.swap(request).await)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.budget.try_spend()?;
        self.record_outcome(self.store.grant_lease(ttl).await)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.budget.try_spend()?;
        self.record_outcome(self.store.renew_lease(lease).await)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.budget.try_spend()?;
        self.record_outcome(self.store.revoke_lease(lease).await)
    }

    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        let mut failures = 0;
        loop {
            self.budget.try_spend()?;
            match self.record_outcome(self.store.get(key).await) {
                Err(error) if failures + 1 < MAX_READ_ATTEMPTS && is_retryable(&error) => {
                    failures += 1;
                    self.back_off(failures).await;
                },
                answer => return answer,
            }
        }
    }

    async fn range(&self, prefix: &str) -> Result<KeyRange, StoreError> {
        let mut failures = 0;
        loop {
            self.budget.try_spend()?;
            match self.record_outcome(self.store.range(prefix).await) {
                Err(error) if failures + 1 < MAX_READ_ATTEMPTS && is_retryable(&error) => {
                    failures += 1;
                    self.back_off(failures).await;
                },
                answer => return answer,
            }
        }
    }

    async fn watch(&self, prefix: &str, from: RevisionNumber) -> Result<S::Watch, StoreError> {
        self.budget.try_spend()?;
        self.record_outcome(self.store.watch(prefix, from).await)
    }
}

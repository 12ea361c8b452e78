//! Interface to the platform's key-value service.

use std::rc::Rc;
use std::time::Duration;

use apricotknot_core::types::RevisionNumber;
use futures::Stream;

use super::KeyRange;
use super::LeaseId;
use super::StoreEntry;
use super::StoreError;
use super::SwapOutcome;
use super::SwapRequest;
use super::WatchBatch;

/// Reads, swaps (compare-and-swap) and watches keys; implemented for each kind of store.
///
/// Calls run on the control thread, so neither the store nor its futures need be `Send`.
#[allow(async_fn_in_trait)]
pub trait KeyValueStore {
    /// Stream of changes that a watch yields; it ends when the watch is interrupted.
    type Watch: Stream<Item = Result<WatchBatch, StoreError>> + Unpin;

    /// Writes or deletes one key if it is at the expected revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed; [`StoreError::certainty`] states whether the write may
    /// have taken effect.
    async fn swap(&self, request: &SwapRequest) -> Result<SwapOutcome, StoreError>;

    /// Grants a lease that expires after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease is not known to be granted; it may have been granted.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease and returns its remaining time; zero if it has expired already.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease is not known to be renewed; it may have been renewed.
    async fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError>;

    /// Revokes a lease, which deletes the keys that are bound to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease is not known to be revoked; it may have been revoked.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Reads one key; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the key could not be read.
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError>;

    /// Reads all keys that start with `prefix`, as of one revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the keys could not be read.
    async fn range(&self, prefix: &str) -> Result<KeyRange, StoreError>;

    /// Watches the keys that start with `prefix`, from revision `from` (inclusive).
    ///
    /// # Errors
    ///
    /// Returns an error if the watch could not be opened.
    async fn watch(&self, prefix: &str, from: RevisionNumber) -> Result<Self::Watch, StoreError>;
}

impl<S: KeyValueStore> KeyValueStore for Rc<S> {
    type Watch = S::Watch;

    async fn swap(&self, request: &SwapRequest) -> Result<SwapOutcome, StoreError> {
        (**self).swap(request).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        (**self).grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        (**self).renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        (**self).revoke_lease(lease).await
    }

    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        (**self).get(key).await
    }

    async fn range(&self, prefix: &str) -> Result<KeyRange, StoreError> {
        (**self).range(prefix).await
    }

    async fn watch(&self, prefix: &str, from: RevisionNumber) -> Result<Self::Watch, StoreError> {
        (**self).watch(prefix, from).await
    }
}

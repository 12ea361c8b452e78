//! The interface to the platform's key-value service.

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

/// Reads, swaps and watches keys; implemented once for each kind of key-value service.
///
/// Calls run on the control thread, so neither the store nor its futures need be `Send`.
#[allow(async_fn_in_trait)]
pub trait KeyValueStore {
    /// Stream of changes that a watch yields; it ends when the watch breaks.
    type Watch: Stream<Item = Result<WatchBatch, StoreError>> + Unpin;

    // Commands.

    /// Changes one key if it is in the expected state.
    ///
    /// # Errors
    ///
    /// Returns why the outcome is not known; [`StoreError::certainty`] says whether the write may
    /// have taken effect.
    async fn swap(&self, request: &SwapRequest) -> Result<SwapOutcome, StoreError>;

    /// Grants a lease that ends after `ttl` unless it is kept alive.
    ///
    /// # Errors
    ///
    /// Returns why no lease is known to be granted.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Extends a lease, and returns the time that it has left; zero when it had ended.
    ///
    /// # Errors
    ///
    /// Returns why the lease is not known to be extended.
    async fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError>;

    /// Ends a lease, and with it the keys that are bound to it.
    ///
    /// # Errors
    ///
    /// Returns why the lease is not known to have ended.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    // Queries.

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns why the key could not be read.
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError>;

    /// Reads all keys that start with `prefix`, as of one revision.
    ///
    /// # Errors
    ///
    /// Returns why the keys could not be read.
    async fn range(&self, prefix: &str) -> Result<KeyRange, StoreError>;

    /// Follows the changes under `prefix` from revision `from` on, which is included.
    ///
    /// # Errors
    ///
    /// Returns why the watch could not be opened.
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

//! Interface that the gateway needs of a key-value service.

use std::time::Duration;

use apricotknot_core::types::RevisionNumber;

use super::KeyRange;
use super::StoreError;
use super::StoreLease;
use super::SwapOutcome;
use super::SwapRequest;
use super::WatchBatch;
use super::WatchLimits;

/// Reads, swaps and watches keys; each call is one call of the service.
///
/// Calls run on the control thread, so neither the store nor its futures need be `Send`.
#[allow(async_fn_in_trait)]
pub trait MetadataStore: Clone + 'static {
    /// Changes one key if it has the expected revision.
    ///
    /// # Errors
    ///
    /// Returns why the result is not known; [`StoreError::certainty`] reports whether the write may
    /// have taken effect.
    async fn swap(&self, request: &SwapRequest) -> Result<SwapOutcome, StoreError>;

    /// Grants a lease that expires after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// Returns why no lease is known to have been granted.
    async fn grant_lease(&self, ttl: Duration) -> Result<StoreLease, StoreError>;

    /// Renews a lease; returns `false` if it has already expired.
    ///
    /// # Errors
    ///
    /// Returns why the lease is not known to have been renewed.
    async fn renew_lease(&self, lease: StoreLease) -> Result<bool, StoreError>;

    /// Revokes a lease; the service removes the keys that are bound to it.
    ///
    /// # Errors
    ///
    /// Returns why the lease is not known to have been revoked.
    async fn revoke_lease(&self, lease: StoreLease) -> Result<(), StoreError>;

    /// Reads all keys that start with `prefix`, page by page if there are many.
    ///
    /// Returns the revision of the first page, so that a watch that starts there misses no change.
    ///
    /// # Errors
    ///
    /// Returns why the keys could not be read.
    async fn range(&self, prefix: &str) -> Result<KeyRange, StoreError>;

    /// Waits for changes under `prefix` after revision `after`.
    ///
    /// Returns an empty batch if there were none.
    ///
    /// # Errors
    ///
    /// Returns why the changes could not be read; [`StoreError::Backlog`] if their transfer would
    /// exceed its limit.
    async fn changes(
        &self,
        prefix: &str,
        after: RevisionNumber,
        limits: WatchLimits,
    ) -> Result<WatchBatch, StoreError>;

    /// Makes later calls open new connections: those that are open may have gone silent.
    ///
    /// Calls in progress go on. A store without connections has nothing to do.
    fn abandon_connections(&self) {}
}

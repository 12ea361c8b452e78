//! What the gateway asks of a key-value service.

use std::time::Duration;

use apricotknot_core::types::RevisionNumber;

use super::KeyRange;
use super::LeaseId;
use super::StoreError;
use super::SwapOutcome;
use super::SwapRequest;
use super::WatchBatch;

/// Reads, swaps and watches keys; each call is one call of the service.
///
/// Calls run on the control thread, so neither the store nor its futures need be `Send`.
#[allow(async_fn_in_trait)]
pub trait MetadataStore: Clone + 'static {
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

    /// Extends a lease; returns whether it had not ended.
    ///
    /// # Errors
    ///
    /// Returns why the lease is not known to be extended.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Ends a lease, and with it the keys that are bound to it.
    ///
    /// # Errors
    ///
    /// Returns why the lease is not known to have ended.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    // Queries.

    /// Reads the keys that start with `prefix` and come after `after`; all pages are read.
    ///
    /// The revision returned is that of the first page, so that a watch from it misses nothing.
    ///
    /// # Errors
    ///
    /// Returns why the keys could not be read.
    async fn range(&self, prefix: &str) -> Result<KeyRange, StoreError>;

    /// Waits up to `wait` for changes under `prefix` after revision `after`.
    ///
    /// # Errors
    ///
    /// Returns why the changes are not known.
    async fn changes(
        &self,
        prefix: &str,
        after: RevisionNumber,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError>;
}

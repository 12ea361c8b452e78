//! Announces a node in the key-value service for as long as it lives.

use std::time::Duration;

use apricotknot_core::types::NodeId;
use slog::Logger;
use slog::info;
use slog::warn;

use super::NodeRecord;
use super::registry::node_key;
use super::registry::secret_key;
use crate::store::ExpectedRevision;
use crate::store::LeaseId;
use crate::store::MetadataStore;
use crate::store::StoreError;
use crate::store::SwapOutcome;
use crate::store::SwapRequest;

/// Time for which a node that has died stays announced.
const LEASE_TIME: Duration = Duration::from_secs(6);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Length of the secret that nodes share, in bytes.
const SECRET_BYTES: usize = 32;

/// Keeps the record of one node, and makes the secret of the nodes if there is none.
pub(super) struct NodeAnnouncer<S> {
    store: S,
    node: NodeId,
    record: NodeRecord,
    logger: Logger,
}

impl<S: MetadataStore> NodeAnnouncer<S> {
    pub(super) fn new(store: S, node: NodeId, record: NodeRecord, logger: Logger) -> Self {
        Self { store, node, record, logger }
    }

    /// Keeps the node announced until the task is dropped.
    pub(super) async fn run(self) {
        self.make_secret().await;
        loop {
            match self.announce().await {
                Ok(lease) => {
                    info!(self.logger, "registry: node announced"; "lease" => lease);
                    self.keep(lease).await;
                    warn!(self.logger, "registry: lease ended"; "lease" => lease);
                },
                Err(error) => {
                    warn!(self.logger, "registry: node not announced"; "error" => %error);
                    tokio::time::sleep(RETRY_PAUSE).await;
                },
            }
        }
    }

    async fn make_secret(&self) {
        let secret: [u8; SECRET_BYTES] = rand::random();
        let request = SwapRequest::create(secret_key(), secret);
        loop {
            // A conflict means that another node was first; its secret comes with the feed.
            match self.store.swap(&request).await {
                Ok(_) => return,
                Err(error) => {
                    warn!(self.logger, "registry: secret not stored"; "error" => %error);
                    tokio::time::sleep(RETRY_PAUSE).await;
                },
            }
        }
    }

    async fn announce(&self) -> Result<LeaseId, StoreError> {
        let lease = self.store.grant_lease(LEASE_TIME).await?;
        let value = serde_json::to_vec(&self.record).unwrap_or_default();
        let mut request = SwapRequest::create(node_key(&self.node), value).lease(lease);
        // The record of an earlier life may still be there.
        while let SwapOutcome::Conflict { current, .. } = self.store.swap(&request).await? {
            request.expected = match current {
                Some(entry) => ExpectedRevision::At(entry.mod_revision),
                None => ExpectedRevision::Absent,
            };
        }
        Ok(lease)
    }

    /// Renews the lease until it has ended.
    async fn keep(&self, lease: LeaseId) {
        loop {
            tokio::time::sleep(RENEW_INTERVAL).await;
            match self.store.keep_lease(lease).await {
                Ok(true) => {},
                Ok(false) => return,
                Err(error) => {
                    warn!(self.logger, "registry: lease not renewed"; "error" => %error);
                },
            }
        }
    }
}

//! Announces a node in the key-value service while it runs.

use std::rc::Rc;
use std::time::Duration;

use apricotknot_core::types::NodeId;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;

use super::NodeRecord;
use super::registry::node_key;
use super::registry::secret_key;
use crate::store::ExpectedRevision;
use crate::store::MetadataStore;
use crate::store::StoreError;
use crate::store::StoreLease;
use crate::store::SwapOutcome;
use crate::store::SwapRequest;

/// Time for which a crashed node stays announced.
const LEASE_TTL: Duration = Duration::from_secs(12);

/// Interval between two renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(4);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Length of the peer secret, in bytes.
const SECRET_BYTES: usize = 32;

/// Keeps the record of one node announced, and creates the peer secret if there is none.
pub(super) struct NodeAnnouncer<S> {
    store: S,
    node: NodeId,
    record: NodeRecord,
    /// Notified when the node is to be withdrawn.
    stop_signal: Rc<Notify>,
    logger: Logger,
}

impl<S: MetadataStore> NodeAnnouncer<S> {
    pub(super) fn new(
        store: S,
        node: NodeId,
        record: NodeRecord,
        stop_signal: Rc<Notify>,
        logger: Logger,
    ) -> Self {
        Self { store, node, record, stop_signal, logger }
    }

    /// Keeps the node announced until the stop signal, then withdraws it.
    pub(super) async fn run(self) {
        self.create_secret().await;
        loop {
            match self.announce().await {
                Ok(lease) => {
                    info!(self.logger, "registry: node announced"; "lease" => lease.id, "era" => lease.era);
                    if self.keep_lease_alive(lease).await {
                        return self.withdraw(lease).await;
                    }
                    warn!(
                        self.logger, "registry: lease expired; announcing the node again";
                        "lease" => lease.id
                    );
                },
                Err(error) => {
                    warn!(
                        self.logger, "registry: cannot announce the node; retrying";
                        "error" => %error
                    );
                    tokio::time::sleep(RETRY_DELAY).await;
                },
            }
        }
    }

    async fn create_secret(&self) {
        let secret: [u8; SECRET_BYTES] = rand::random();
        let request = SwapRequest::create(secret_key(), secret);
        loop {
            // A conflict means that another node was first; the feed reads its secret.
            match self.store.swap(&request).await {
                Ok(_) => return,
                Err(error) => {
                    warn!(
                        self.logger, "registry: cannot store the peer secret; retrying";
                        "error" => %error
                    );
                    tokio::time::sleep(RETRY_DELAY).await;
                },
            }
        }
    }

    async fn announce(&self) -> Result<StoreLease, StoreError> {
        let lease = self.store.grant_lease(LEASE_TTL).await?;
        let value = serde_json::to_vec(&self.record).unwrap_or_default();
        let mut request = SwapRequest::create(node_key(&self.node), value).lease_in_era(lease);
        // The record of an earlier incarnation may still exist; it is replaced.
        while let SwapOutcome::Conflict { current, .. } = self.store.swap(&request).await? {
            request.expected = match current {
                Some(entry) => ExpectedRevision::At(entry.mod_revision),
                None => ExpectedRevision::Absent,
            };
        }
        Ok(lease)
    }

    /// Renews the lease until it has expired (returns `false`) or the node is to be withdrawn
    /// (returns `true`).
    async fn keep_lease_alive(&self, lease: StoreLease) -> bool {
        loop {
            tokio::select! {
                () = self.stop_signal.notified() => return true,
                () = tokio::time::sleep(RENEW_INTERVAL) => {},
            }
            match self.store.renew_lease(lease).await {
                Ok(true) => {},
                Ok(false) => return false,
                Err(error) => {
                    warn!(
                        self.logger, "registry: cannot renew the lease; retrying";
                        "error" => %error
                    );
                },
            }
        }
    }

    /// Revokes the lease, so that other nodes need not wait until it expires.
    async fn withdraw(&self, lease: StoreLease) {
        match self.store.revoke_lease(lease).await {
            Ok(()) => info!(self.logger, "registry: node withdrawn"; "lease" => lease.id),
            Err(error) => warn!(
                self.logger, "registry: cannot withdraw the node; its lease will expire";
                "error" => %error
            ),
        }
    }
}

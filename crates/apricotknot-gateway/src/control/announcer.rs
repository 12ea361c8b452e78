//! Announces a node in the key-value service while it runs.

use std::cell::Cell;
use std::cell::RefCell;
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

/// Shortest time over which the nodes spread their calls after the service lost their records.
const MIN_REWRITE_TIME: Duration = Duration::from_millis(600);

/// Time by which each node lengthens it; the service takes a limited number of writes per second.
const REWRITE_TIME_PER_NODE: Duration = Duration::from_millis(10);

/// Signals to the announcer from the control thread's other tasks.
#[derive(Debug, Default)]
pub(super) struct AnnouncerSignals {
    /// Notified when the node is to be withdrawn.
    pub(super) stop: Notify,
    /// Notified when the service has come back from a copy.
    pub(super) restored: Notify,
    /// Secret that the nodes share, once it was read.
    pub(super) secret: RefCell<Option<Vec<u8>>>,
    /// Number of nodes that are known.
    pub(super) node_count: Rc<Cell<usize>>,
}

/// Why the announcer no longer renews a lease.
enum LeaseEnd {
    /// The node is to be withdrawn.
    Stopped,
    /// The lease has expired, or the service has lost it.
    Lost,
}

/// Keeps the record of one node announced, and creates the peer secret if there is none.
pub(super) struct NodeAnnouncer<S> {
    store: S,
    node: NodeId,
    record: NodeRecord,
    signals: Rc<AnnouncerSignals>,
    logger: Logger,
}

impl<S: MetadataStore> NodeAnnouncer<S> {
    pub(super) fn new(
        store: S,
        node: NodeId,
        record: NodeRecord,
        signals: Rc<AnnouncerSignals>,
        logger: Logger,
    ) -> Self {
        Self { store, node, record, signals, logger }
    }

    /// Keeps the node announced until the stop signal, then withdraws it.
    pub(super) async fn run(self) {
        loop {
            self.create_secret().await;
            match self.announce().await {
                Ok(lease) => {
                    info!(
                        self.logger, "registry: node announced";
                        "lease" => lease.id, "era" => lease.era
                    );
                    if let LeaseEnd::Stopped = self.keep_lease_alive(lease).await {
                        return self.withdraw(lease).await;
                    }
                    warn!(
                        self.logger, "registry: lease lost; announcing the node again";
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
        // Nodes that share a secret keep it if the service has lost it.
        let known = self.signals.secret.borrow().clone();
        let secret = known.unwrap_or_else(|| rand::random::<[u8; SECRET_BYTES]>().to_vec());
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

    /// Renews the lease until it is lost or the node is to be withdrawn.
    async fn keep_lease_alive(&self, lease: StoreLease) -> LeaseEnd {
        loop {
            tokio::select! {
                () = self.signals.stop.notified() => return LeaseEnd::Stopped,
                () = self.signals.restored.notified() => {
                    let delay = rewrite_time(self.signals.node_count.get());
                    tokio::time::sleep(delay.mul_f64(rand::random())).await;
                    return LeaseEnd::Lost;
                },
                () = tokio::time::sleep(RENEW_INTERVAL) => {},
            }
            match self.store.renew_lease(lease).await {
                Ok(true) => {},
                Ok(false) => return LeaseEnd::Lost,
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

/// Returns the time over which `node_count` nodes spread their calls.
fn rewrite_time(node_count: usize) -> Duration {
    let node_count = u32::try_from(node_count).unwrap_or(u32::MAX);
    REWRITE_TIME_PER_NODE.saturating_mul(node_count).max(MIN_REWRITE_TIME)
}

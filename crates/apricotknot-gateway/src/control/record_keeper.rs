//! Writes records to the key-value service, for nodes that start later.

use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;

use crate::store::MetadataStore;
use crate::store::StoreError;
use crate::store::SwapRequest;

/// Time for which a record is kept.
const RECORD_TTL: Duration = Duration::from_secs(600);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Most attempts to write one record.
const MAX_ATTEMPTS: u32 = 20;

/// Capacity of the channel for records to write; beyond it, they are known only to running nodes.
pub(super) const KEEPER_CAPACITY: usize = 64;

/// A record whose value never changes.
#[derive(Clone, Debug)]
pub(super) struct KeptRecord {
    /// Key of the record.
    pub(super) key: Arc<str>,
    /// Value of the record.
    pub(super) value: Arc<[u8]>,
}

/// Writes each record that the control thread sends, under a lease that is not renewed.
pub(super) struct RecordKeeper<S> {
    store: S,
    records: mpsc::Receiver<KeptRecord>,
    logger: Logger,
}

impl<S: MetadataStore> RecordKeeper<S> {
    pub(super) fn new(store: S, records: mpsc::Receiver<KeptRecord>, logger: Logger) -> Self {
        Self { store, records, logger }
    }

    /// Writes records until the sender is dropped.
    pub(super) async fn run(mut self) {
        while let Some(record) = self.records.recv().await {
            self.keep(record).await;
        }
    }

    async fn keep(&self, record: KeptRecord) {
        for _ in 0..MAX_ATTEMPTS {
            match self.write(&record).await {
                Ok(()) => {
                    info!(self.logger, "records: record kept"; "key" => &*record.key);
                    return;
                },
                Err(error) => {
                    warn!(
                        self.logger, "records: cannot keep a record; retrying";
                        "key" => &*record.key, "error" => %error
                    );
                    tokio::time::sleep(RETRY_DELAY).await;
                },
            }
        }
    }

    async fn write(&self, record: &KeptRecord) -> Result<(), StoreError> {
        let lease = self.store.grant_lease(RECORD_TTL).await?;
        // A conflict means that another node has written the record.
        let request = SwapRequest::create(Arc::clone(&record.key), &*record.value);
        self.store.swap(&request.lease_in_era(lease)).await.map(drop)
    }
}

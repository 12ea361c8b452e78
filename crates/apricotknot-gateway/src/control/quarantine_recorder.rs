//! Records quarantined prompt parts in the key-value service, for nodes that start later.

use std::time::Duration;

use apricotknot_core::fleet::PromptPartId;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;

use super::registry::part_key;
use crate::store::MetadataStore;
use crate::store::StoreError;
use crate::store::SwapRequest;

/// Time for which a part stays recorded.
const RECORD_TTL: Duration = Duration::from_secs(600);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Most attempts to record one part.
const MAX_ATTEMPTS: u32 = 20;

/// Capacity of the channel for parts to record; beyond it, parts are known only to running nodes.
pub(super) const RECORDER_CAPACITY: usize = 64;

/// Records each part that the control thread sends, under a lease that is not renewed.
pub(super) struct QuarantineRecorder<S> {
    store: S,
    parts: mpsc::Receiver<PromptPartId>,
    logger: Logger,
}

impl<S: MetadataStore> QuarantineRecorder<S> {
    pub(super) fn new(store: S, parts: mpsc::Receiver<PromptPartId>, logger: Logger) -> Self {
        Self { store, parts, logger }
    }

    /// Records parts until the sender is dropped.
    pub(super) async fn run(mut self) {
        while let Some(part) = self.parts.recv().await {
            self.record(part).await;
        }
    }

    async fn record(&self, part: PromptPartId) {
        for _ in 0..MAX_ATTEMPTS {
            match self.write(part).await {
                Ok(()) => {
                    info!(self.logger, "quarantine: prompt part recorded"; "part" => part);
                    return;
                },
                Err(error) => {
                    warn!(
                        self.logger, "quarantine: cannot record a prompt part; retrying";
                        "part" => part, "error" => %error
                    );
                    tokio::time::sleep(RETRY_DELAY).await;
                },
            }
        }
    }

    async fn write(&self, part: PromptPartId) -> Result<(), StoreError> {
        let lease = self.store.grant_lease(RECORD_TTL).await?;
        // A conflict means that another node has recorded the part.
        self.store
            .swap(&SwapRequest::create(part_key(part), *b"{}").lease_in_era(lease))
            .await
            .map(drop)
    }
}

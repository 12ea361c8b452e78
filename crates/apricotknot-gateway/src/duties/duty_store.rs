//! Calls of the key-value service on behalf of a holder.

use std::future::Future;
use std::time::Duration;

use apricotknot_core::duty::DutyAction;
use apricotknot_core::duty::DutyContents;
use apricotknot_core::duty::DutyKind;
use apricotknot_core::duty::DutyLease;
use apricotknot_core::duty::DutyOutcome;
use apricotknot_core::duty::DutyRecord;
use apricotknot_core::types::RevisionNumber;
use tokio::time::timeout;

use super::DutyChange;
use super::duty_change::duty_key;
use crate::store::ExpectedRevision;
use crate::store::MetadataStore;
use crate::store::StoreError;
use crate::store::StoreLease;
use crate::store::SwapOutcome;
use crate::store::SwapRequest;
use crate::store::WriteCertainty;

/// Longest time of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Carries out the calls that the holder of one duty asks for.
#[derive(Clone, Debug)]
pub(super) struct DutyStore<S> {
    store: S,
    kind: DutyKind,
}

impl<S: MetadataStore> DutyStore<S> {
    pub(super) fn new(store: S, kind: DutyKind) -> Self {
        Self { store, kind }
    }

    /// Makes one call; returns its outcome, and the error if it failed.
    pub(super) async fn carry_out(&self, action: DutyAction) -> (DutyOutcome, Option<StoreError>) {
        let call = async {
            match action {
                DutyAction::Grant { ttl } => self.grant(ttl).await,
                DutyAction::Write { expected, record, lease } => {
                    self.write(expected, &record, lease).await
                },
                DutyAction::Read => self.read().await,
                DutyAction::Renew { lease } => self.renew(lease).await,
            }
        };
        match limit(call).await {
            Ok(outcome) => (outcome, None),
            Err(error) if error.certainty() == WriteCertainty::NotWritten => {
                (DutyOutcome::Refused, Some(error))
            },
            Err(error) => (DutyOutcome::Unknown, Some(error)),
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<DutyOutcome, StoreError> {
        let StoreLease { era, id } = self.store.grant_lease(ttl).await?;
        Ok(DutyOutcome::Granted(DutyLease { era, id }))
    }

    async fn write(
        &self,
        expected: Option<RevisionNumber>,
        record: &DutyRecord,
        lease: DutyLease,
    ) -> Result<DutyOutcome, StoreError> {
        let value = serde_json::to_vec(record).unwrap_or_default();
        let mut request = SwapRequest::create(duty_key(self.kind), value);
        request.expected = expected.map_or(ExpectedRevision::Absent, ExpectedRevision::At);
        let request = request.lease_in_era(StoreLease { era: lease.era, id: lease.id });
        Ok(match self.store.swap(&request).await? {
            SwapOutcome::Written { revision } => DutyOutcome::Written(revision),
            SwapOutcome::Conflict { current, .. } => {
                let change = current.as_ref().and_then(DutyChange::of_entry);
                DutyOutcome::Conflict(change.map(|change| DutyContents {
                    era: lease.era,
                    revision: change.revision,
                    entry: change.entry,
                }))
            },
        })
    }

    async fn read(&self) -> Result<DutyOutcome, StoreError> {
        let key = duty_key(self.kind);
        let range = self.store.range(&key).await?;
        let entry = range.entries.iter().find(|entry| entry.key == key);
        Ok(DutyOutcome::Read(DutyContents {
            era: range.era,
            revision: range.revision,
            entry: entry.and_then(DutyChange::of_entry).and_then(|change| change.entry),
        }))
    }

    async fn renew(&self, lease: DutyLease) -> Result<DutyOutcome, StoreError> {
        let is_alive = self.store.renew_lease(StoreLease { era: lease.era, id: lease.id }).await?;
        Ok(if is_alive { DutyOutcome::Renewed } else { DutyOutcome::Expired })
    }
}

async fn limit<F>(call: F) -> Result<DutyOutcome, StoreError>
where
    F: Future<Output = Result<DutyOutcome, StoreError>>,
{
    timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(StoreError::TimedOut { limit: CALL_TIMEOUT }))
}

//! Writes resources safely despite concurrent operators and lost answers of the store.

use std::time::Duration;

use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSpec;
use apricotknot_core::types::GenerationNumber;
use apricotknot_core::types::RevisionNumber;
use thiserror::Error;

use super::StoredRecord;
use super::stored_record::WriteId;
use crate::store::ExpectedRevision;
use crate::store::KeyValueStore;
use crate::store::StoreEntry;
use crate::store::StoreError;
use crate::store::SwapOutcome;
use crate::store::SwapRequest;
use crate::store::WriteCertainty;
use crate::store::resource_key;

/// Largest number of attempts of one swap whose outcome is not known, including the first.
const MAX_SWAP_ATTEMPTS: u32 = 4;

/// Default delay before the first retry of a swap; doubles with each retry.
const SWAP_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest number of attempts of a change that is repeated after other operators' writes.
const MAX_CHANGE_ATTEMPTS: u32 = 8;

/// Reports an accepted write.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteReceipt {
    /// Record as stored; its generation is 0 if another write has replaced it since.
    pub record: ResourceRecord,
    /// Revision at which the store is known to hold it.
    pub revision: RevisionNumber,
    /// Whether the write changed the store.
    pub changed: bool,
}

/// Reports a write that was not accepted.
#[derive(Clone, Debug, Error)]
pub enum WriteError {
    /// Another operator changed the resource first.
    #[error("{key} is at generation {actual}, not {expected}; read it again and repeat the change")]
    Conflict {
        /// Resource.
        key: ResourceKey,
        /// Generation that the operator expected.
        expected: GenerationNumber,
        /// Generation in the store; 0 if the resource does not exist.
        actual: GenerationNumber,
        /// Record in the store, if the resource exists.
        current: Option<Box<ResourceRecord>>,
        /// Whether the change may have taken effect before the conflicting one.
        certainty: WriteCertainty,
    },
    /// The resource does not exist.
    #[error("{key} does not exist; list the names with `apricotctl get {}`", key.kind)]
    Missing {
        /// Resource.
        key: ResourceKey,
    },
    /// The stored resource cannot be read.
    #[error("the stored {key} cannot be read: {reason}; delete it and apply it again")]
    Unreadable {
        /// Resource.
        key: ResourceKey,
        /// Why it cannot be parsed.
        reason: String,
    },
    /// The store was not changed.
    #[error("nothing was changed: {0}")]
    NotWritten(StoreError),
    /// The store may have been changed.
    #[error("the change may have been made: {0}; read the resource before you repeat it")]
    Unknown(StoreError),
}

/// Reports the known outcome of a swap, after retries where necessary.
enum ResolvedSwap {
    /// The swap took effect at this revision.
    Written(RevisionNumber),
    /// The key is not at the expected revision.
    ///
    /// If `is_repeated`, an earlier attempt may have taken effect before.
    Conflict { current: Option<StoreEntry>, is_repeated: bool },
}

/// Writes resources by compare-and-swap on their generation.
///
/// A swap whose answer is lost is repeated unchanged. The repetition either takes effect, or
/// conflicts with a newer value, whose write ids show whether the lost swap took effect. Therefore
/// no delayed copy of the swap can take effect after its outcome was reported. The outcome of a
/// creation is read back instead, because a repetition would undo a deletion made in between.
pub struct ResourceWriter<S> {
    store: S,
    retry_delay: Duration,
}

impl<S: KeyValueStore> ResourceWriter<S> {
    /// Creates a writer to `store` with the default retry delay.
    pub fn new(store: S) -> Self {
        Self { store, retry_delay: SWAP_RETRY_DELAY }
    }

    /// Sets the delay before the first retry of a swap; zero retries immediately.
    pub fn retry_delay(mut self, retry_delay: impl Into<Duration>) -> Self {
        self.retry_delay = retry_delay.into();
        self
    }

    /// Writes `record` if its generation is the one in the store; 0 stands for no resource.
    ///
    /// # Errors
    ///
    /// Returns why the write was not accepted, and whether it may have taken effect.
    pub async fn put(&self, record: ResourceRecord) -> Result<WriteReceipt, WriteError> {
        let key = ResourceKey::new(record.spec.kind(), record.name.clone());
        let stored = self.read(&key).await?;
        let generation = stored.as_ref().map_or(0, |stored| stored.record.generation);
        if generation != record.generation {
            let certainty = WriteCertainty::NotWritten;
            let current = stored.map(|stored| stored.record);
            return Err(conflict_error(&key, record.generation, current, certainty));
        }
        self.replace(&key, stored, record).await
    }

    /// Sets whether new work may be sent to a data centre or an endpoint.
    ///
    /// The change is repeated when it conflicts with another operator's write, whose changes it
    /// keeps.
    ///
    /// # Errors
    ///
    /// Returns why the write was not accepted, and whether it may have taken effect.
    pub async fn set_duty(
        &self,
        key: &ResourceKey,
        duty: DutyState,
    ) -> Result<WriteReceipt, WriteError> {
        let mut attempts = 0;
        loop {
            let Some(stored) = self.read(key).await? else {
                return Err(WriteError::Missing { key: key.clone() });
            };
            let mut record = stored.record.clone();
            let revision = record.generation;
            if !set_spec_duty(&mut record.spec, duty) {
                return Ok(WriteReceipt { record, revision, changed: false });
            }
            attempts += 1;
            match self.replace(key, Some(stored), record).await {
                Err(WriteError::Conflict { .. }) if attempts < MAX_CHANGE_ATTEMPTS => {},
                outcome => return outcome,
            }
        }
    }

    /// Deletes a resource; if `generation` is given, only at that generation.
    ///
    /// # Errors
    ///
    /// Returns why the deletion was not accepted, and whether it may have taken effect.
    pub async fn delete(
        &self,
        key: &ResourceKey,
        generation: Option<GenerationNumber>,
    ) -> Result<(), WriteError> {
        let path = resource_key(key);
        let entry = self.store.get(&path).await.map_err(WriteError::NotWritten)?;
        let Some(entry) = entry else {
            return Err(WriteError::Missing { key: key.clone() });
        };
        let stored = decode(key, &entry);
        if let Some(expected) = generation {
            let current = stored.as_ref().map_err(Clone::clone)?.record.clone();
            if current.generation != expected {
                let certainty = WriteCertainty::NotWritten;
                return Err(conflict_error(key, expected, Some(current), certainty));
            }
        }
        let request = SwapRequest::delete(path, entry.mod_revision);
        match self.swap(&request).await? {
            ResolvedSwap::Written(_) => Ok(()),
            ResolvedSwap::Conflict { current, is_repeated } => {
                deletion_conflict(key, stored.ok().as_ref(), current, is_repeated)
            },
        }
    }

    /// Writes `record` over the version `stored`, or creates it if there is none.
    async fn replace(
        &self,
        key: &ResourceKey,
        stored: Option<StoredRecord>,
        mut record: ResourceRecord,
    ) -> Result<WriteReceipt, WriteError> {
        let path = resource_key(key);
        let expected = record.generation;
        let write: WriteId = format!("{:016x}", rand::random::<u64>()).into();
        record.generation = 0;
        let request = match &stored {
            Some(stored) => {
                let successor = stored.successor(record.clone(), write.clone());
                SwapRequest::replace(path, stored.record.generation, encode(key, &successor)?)
            },
            None => {
                let created = StoredRecord::created(record.clone(), write.clone());
                SwapRequest::create(path, encode(key, &created)?)
            },
        };
        let (current, is_repeated) = match self.swap(&request).await? {
            ResolvedSwap::Written(revision) => {
                record.generation = revision;
                return Ok(WriteReceipt { record, revision, changed: true });
            },
            ResolvedSwap::Conflict { current, is_repeated } => (current, is_repeated),
        };
        let found = current.map(|entry| decode(key, &entry)).transpose()?;
        if let Some(found) = &found
            && found.writes.contains(&write)
        {
            return Ok(recovered_receipt(found, record, &write));
        }
        let base = stored.as_ref().and_then(StoredRecord::last_write_id);
        let certainty = conflict_certainty(found.as_ref(), base, is_repeated);
        Err(conflict_error(key, expected, found.map(|found| found.record), certainty))
    }

    /// Repeats a swap until its outcome is known or the attempts are exhausted.
    async fn swap(&self, request: &SwapRequest) -> Result<ResolvedSwap, WriteError> {
        let mut is_repeated = false;
        let mut delay = self.retry_delay;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let outcome = match is_repeated && request.expected == ExpectedRevision::Absent {
                true => self.read_back(request).await,
                false => self.store.swap(request).await,
            };
            let error = match outcome {
                Ok(SwapOutcome::Written { revision }) => {
                    return Ok(ResolvedSwap::Written(revision));
                },
                Ok(SwapOutcome::Conflict { current, .. }) => {
                    return Ok(ResolvedSwap::Conflict { current, is_repeated });
                },
                Err(error) => error,
            };
            is_repeated |= error.certainty() == WriteCertainty::Unknown;
            if !is_repeated {
                return Err(WriteError::NotWritten(error));
            }
            if attempts == MAX_SWAP_ATTEMPTS {
                return Err(WriteError::Unknown(error));
            }
            if !delay.is_zero() {
                actix_rt::time::sleep(delay).await;
                delay *= 2;
            }
        }
    }

    /// Reads whether a creation took effect; the outcome stays unknown if the key does not exist.
    async fn read_back(&self, request: &SwapRequest) -> Result<SwapOutcome, StoreError> {
        match self.store.get(&request.key).await? {
            Some(entry) => {
                let revision = entry.mod_revision;
                Ok(SwapOutcome::Conflict { current: Some(entry), revision })
            },
            None => Err(StoreError::Undecided { key: request.key.to_string() }),
        }
    }

    async fn read(&self, key: &ResourceKey) -> Result<Option<StoredRecord>, WriteError> {
        let entry = self.store.get(&resource_key(key)).await.map_err(WriteError::NotWritten)?;
        entry.map(|entry| decode(key, &entry)).transpose()
    }
}

/// Sets the duty of a resource and returns whether it changed.
fn set_spec_duty(spec: &mut ResourceSpec, duty: DutyState) -> bool {
    let current = match spec {
        ResourceSpec::DataCentre(spec) => &mut spec.duty,
        ResourceSpec::Endpoint(spec) => &mut spec.duty,
        _ => return false,
    };
    std::mem::replace(current, duty) != duty
}

/// Creates the receipt of a write that was found in the store after its answer had been lost.
fn recovered_receipt(
    found: &StoredRecord,
    mut record: ResourceRecord,
    write: &WriteId,
) -> WriteReceipt {
    let revision = found.record.generation;
    if found.last_write_id() == Some(write) {
        record.generation = revision;
    }
    WriteReceipt { record, revision, changed: true }
}

/// Returns whether a swap of the version that `base` wrote may have taken effect before `found`.
fn conflict_certainty(
    found: Option<&StoredRecord>,
    base: Option<&WriteId>,
    is_repeated: bool,
) -> WriteCertainty {
    let follows_base = found.zip(base).is_some_and(|(found, base)| found.writes.contains(base));
    if follows_base || !is_repeated { WriteCertainty::NotWritten } else { WriteCertainty::Unknown }
}

/// Returns success if a deletion conflicted because the key does not exist, else the conflict.
fn deletion_conflict(
    key: &ResourceKey,
    stored: Option<&StoredRecord>,
    current: Option<StoreEntry>,
    is_repeated: bool,
) -> Result<(), WriteError> {
    let expected = stored.map_or(0, |stored| stored.record.generation);
    let Some(entry) = current else {
        return Ok(());
    };
    let found = decode(key, &entry)?;
    let base = stored.and_then(StoredRecord::last_write_id);
    let certainty = conflict_certainty(Some(&found), base, is_repeated);
    Err(conflict_error(key, expected, Some(found.record), certainty))
}

fn conflict_error(
    key: &ResourceKey,
    expected: GenerationNumber,
    current: Option<ResourceRecord>,
    certainty: WriteCertainty,
) -> WriteError {
    WriteError::Conflict {
        key: key.clone(),
        expected,
        actual: current.as_ref().map_or(0, |record| record.generation),
        current: current.map(Box::new),
        certainty,
    }
}

fn decode(key: &ResourceKey, entry: &StoreEntry) -> Result<StoredRecord, WriteError> {
    StoredRecord::read(entry).map_err(|error| unreadable_error(key, &error))
}

fn encode(key: &ResourceKey, stored: &StoredRecord) -> Result<Vec<u8>, WriteError> {
    serde_json::to_vec(stored).map_err(|error| unreadable_error(key, &error))
}

fn unreadable_error(key: &ResourceKey, error: &serde_json::Error) -> WriteError {
    WriteError::Unreadable { key: key.clone(), reason: error.to_string() }
}

//! Storage of the ledger's shards in the key-value service.

use std::rc::Rc;

use apricotknot_core::ledger::ShardIndex;
use apricotknot_core::types::RevisionNumber;

use crate::store::ExpectedRevision;
use crate::store::KeyValueStore;
use crate::store::StoreEntry;
use crate::store::StoreError;
use crate::store::SwapOutcome;
use crate::store::SwapRequest;

/// Prefix of the keys under which shards are stored.
const SHARD_PREFIX: &str = "/apricotknot/ledger/";

/// Holds the stored value of a shard and its revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShardContent {
    /// Revision of the value; 0 if the shard is not stored.
    pub revision: RevisionNumber,
    /// Value of the shard, if it is stored.
    pub value: Option<Vec<u8>>,
}

/// Outcome of a write of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardWriteOutcome {
    /// The shard was written.
    Written {
        /// Revision of the new value.
        revision: RevisionNumber,
    },
    /// The shard has a different revision, so nothing was written; holds its current content.
    Conflict(ShardContent),
}

/// Reads and writes shards of the ledger.
#[allow(async_fn_in_trait)]
pub trait LedgerStore: Clone + 'static {
    /// Reads a shard.
    ///
    /// # Errors
    ///
    /// Returns an error if the shard could not be read.
    async fn read(&self, shard: ShardIndex) -> Result<ShardContent, StoreError>;

    /// Writes a shard if its revision is `expected`; with 0, only if the shard is not stored.
    ///
    /// # Errors
    ///
    /// Returns an error if the store did not confirm an outcome; [`StoreError::certainty`] tells
    /// whether the write may have taken effect.
    async fn write(
        &self,
        shard: ShardIndex,
        expected: RevisionNumber,
        value: Vec<u8>,
    ) -> Result<ShardWriteOutcome, StoreError>;
}

/// Stores each shard under a key of its own in a key-value service.
#[derive(Debug)]
pub struct KeyValueLedgerStore<S> {
    store: Rc<S>,
}

impl<S> Clone for KeyValueLedgerStore<S> {
    fn clone(&self) -> Self {
        Self { store: self.store.clone() }
    }
}

impl<S: KeyValueStore> KeyValueLedgerStore<S> {
    /// Creates a ledger store that uses `store`.
    pub fn new(store: impl Into<Rc<S>>) -> Self {
        Self { store: store.into() }
    }
}

impl<S: KeyValueStore + 'static> LedgerStore for KeyValueLedgerStore<S> {
    async fn read(&self, shard: ShardIndex) -> Result<ShardContent, StoreError> {
        Ok(self.store.get(&shard_key(shard)).await?.into())
    }

    async fn write(
        &self,
        shard: ShardIndex,
        expected: RevisionNumber,
        value: Vec<u8>,
    ) -> Result<ShardWriteOutcome, StoreError> {
        let expected = match expected {
            0 => ExpectedRevision::Absent,
            revision => ExpectedRevision::At(revision),
        };
        let key = shard_key(shard).into();
        let request = SwapRequest { key, expected, value: Some(value), lease: None, era: None };
        Ok(match self.store.swap(&request).await? {
            SwapOutcome::Written { revision } => ShardWriteOutcome::Written { revision },
            SwapOutcome::Conflict { current, .. } => ShardWriteOutcome::Conflict(current.into()),
        })
    }
}

impl From<Option<StoreEntry>> for ShardContent {
    fn from(entry: Option<StoreEntry>) -> Self {
        entry.map_or_else(Self::default, |entry| Self {
            revision: entry.mod_revision,
            value: Some(entry.value),
        })
    }
}

fn shard_key(shard: ShardIndex) -> String {
    format!("{SHARD_PREFIX}{shard:02}")
}

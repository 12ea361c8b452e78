//! Format in which a resource is stored.

use std::sync::Arc;

use apricotknot_core::resources::ResourceRecord;
use serde::Deserialize;
use serde::Serialize;

use crate::store::StoreEntry;

/// Largest number of write ids that a stored record keeps.
const MAX_WRITE_IDS: usize = 16;

/// Identifies one write, so that its writer can recognise it after the answer was lost.
pub(super) type WriteId = Arc<str>;

/// Holds a resource record and the ids of its latest writes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredRecord {
    /// Resource record.
    #[serde(flatten)]
    pub record: ResourceRecord,
    /// Ids of the latest writes, newest last.
    #[serde(default)]
    pub writes: Vec<Arc<str>>,
}

impl StoredRecord {
    /// Parses a stored value; the record's generation is the revision of the write that stored it.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a valid stored record.
    pub fn read(entry: &StoreEntry) -> Result<Self, serde_json::Error> {
        let mut stored: Self = serde_json::from_slice(&entry.value)?;
        stored.record.generation = entry.mod_revision;
        Ok(stored)
    }

    /// Creates the stored form of a new resource.
    pub(super) fn created(record: ResourceRecord, write: WriteId) -> Self {
        Self { record, writes: vec![write] }
    }

    /// Creates the stored form of a new version, which keeps the ids of the latest writes.
    pub(super) fn successor(&self, record: ResourceRecord, write: WriteId) -> Self {
        let mut writes = self.writes.clone();
        writes.push(write);
        let surplus = writes.len().saturating_sub(MAX_WRITE_IDS);
        writes.drain(..surplus);
        Self { record, writes }
    }

    /// Returns the id of the write that stored this version, if it is known.
    pub(super) fn last_write_id(&self) -> Option<&WriteId> {
        self.writes.last()
    }
}

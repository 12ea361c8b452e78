//! The form in which a resource is stored.

use std::sync::Arc;

use apricotknot_core::resources::ResourceRecord;
use serde::Deserialize;
use serde::Serialize;

use crate::store::StoreEntry;

/// Writes of a record that it names, newest last.
const MAX_WRITE_IDS: usize = 16;

/// Identifies one write, so that its writer can recognise it after a lost answer.
pub(super) type WriteId = Arc<str>;

/// Holds a record and the ids of its last writes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredRecord {
    /// Record.
    #[serde(flatten)]
    pub record: ResourceRecord,
    /// Ids of the last writes, newest last.
    #[serde(default)]
    pub writes: Vec<Arc<str>>,
}

impl StoredRecord {
    /// Reads a stored value; the revision that wrote it is the record's generation.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the value.
    pub fn read(entry: &StoreEntry) -> Result<Self, serde_json::Error> {
        let mut stored: Self = serde_json::from_slice(&entry.value)?;
        stored.record.generation = entry.mod_revision;
        Ok(stored)
    }

    pub(super) fn created(record: ResourceRecord, write: WriteId) -> Self {
        Self { record, writes: vec![write] }
    }

    pub(super) fn successor(&self, record: ResourceRecord, write: WriteId) -> Self {
        let mut writes = self.writes.clone();
        writes.push(write);
        let surplus = writes.len().saturating_sub(MAX_WRITE_IDS);
        writes.drain(..surplus);
        Self { record, writes }
    }

    pub(super) fn last_write_id(&self) -> Option<&WriteId> {
        self.writes.last()
    }
}

//! Table of the configuration records that one node has in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use thiserror::Error;

use crate::membership::ConfigurationBatch;
use crate::membership::ConfigurationRecord;
use crate::membership::hash::hash_text;
use crate::membership::hash::mix;
use crate::types::RevisionNumber;

/// Largest number of deletions that are kept as tombstones.
const MAX_TOMBSTONES: usize = 4_096;

/// Records after which a batch ends, unless one revision alone has more.
const MAX_RECORDS: usize = 1_024;

/// Bytes of keys and JSON after which a batch ends, unless one revision alone has more.
const MAX_BYTES: usize = 262_144;

/// Error for a batch or snapshot that does not continue what the table holds.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StaleBatch {
    /// The batch starts after the newest revision of the table, so records between are missing.
    #[error(
        "batch after revision {since} refused: the table ends at revision {revision}; \
         pull the records after {revision}"
    )]
    Gap {
        /// Revision after which the batch starts.
        since: RevisionNumber,
        /// Newest revision of the table.
        revision: RevisionNumber,
    },
    /// The batch or snapshot is older than the table.
    #[error(
        "revision {given} refused: revision {revision} is in force; \
         only an equal or newer revision is applied"
    )]
    Older {
        /// Revision that the batch or snapshot reaches.
        given: RevisionNumber,
        /// Newest revision of the table.
        revision: RevisionNumber,
    },
}

/// Holds the newest known write of each resource.
///
/// A record is replaced only by one of a larger revision, and the revision of the table never
/// decreases. Each write up to that revision is in force or was replaced by a later one.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    records: BTreeMap<Arc<str>, ConfigurationRecord>,
    /// Keys of all records by revision, in the order in which batches contain them.
    by_revision: BTreeSet<(RevisionNumber, Arc<str>)>,
    /// Deleted records, oldest first.
    tombstones: BTreeSet<(RevisionNumber, Arc<str>)>,
    revision: RevisionNumber,
    /// Revision at which the table is complete; larger than `revision` between two batches.
    target_revision: RevisionNumber,
    /// Revision of the key-value service up to which no write is missing.
    store_revision: RevisionNumber,
    digest: u64,
}

impl ConfigTable {
    /// Applies a batch from a peer, and returns the records that are new.
    ///
    /// # Errors
    ///
    /// Refuses a batch that leaves a gap or is older than the table.
    pub fn apply_batch(
        &mut self,
        batch: &ConfigurationBatch,
    ) -> Result<Vec<ConfigurationRecord>, StaleBatch> {
        let revision = self.revision;
        if batch.since > revision {
            return Err(StaleBatch::Gap { since: batch.since, revision });
        }
        if batch.through < revision {
            return Err(StaleBatch::Older { given: batch.through, revision });
        }
        let changed = batch.records.iter().filter(|record| record.revision <= batch.through);
        let changed = changed.filter_map(|record| self.put(record)).collect();
        self.revision = batch.through;
        self.target_revision = self.target_revision.max(batch.newest);
        Ok(changed)
    }

    /// Applies all writes that the key-value service accepted after `batch.since` and up to
    /// `batch.through`, and returns the records that are new.
    ///
    /// The revisions of the service also count writes of other keys, so the table's own revision
    /// is that of its newest record.
    ///
    /// # Errors
    ///
    /// Refuses a batch that leaves a gap.
    pub fn apply_writes(
        &mut self,
        batch: &ConfigurationBatch,
    ) -> Result<Vec<ConfigurationRecord>, StaleBatch> {
        let complete = self.store_revision.max(self.revision);
        if batch.since > complete {
            return Err(StaleBatch::Gap { since: batch.since, revision: complete });
        }
        let changed = batch.records.iter().filter_map(|record| self.put(record)).collect();
        let newest = batch.records.iter().map(|record| record.revision).max();
        self.revision = self.revision.max(newest.unwrap_or(0));
        self.store_revision = self.store_revision.max(batch.through);
        Ok(changed)
    }

    /// Applies a snapshot of all records that exist at `revision`, and returns those that are new.
    ///
    /// A record of the table that the snapshot lacks becomes a deletion.
    ///
    /// # Errors
    ///
    /// Refuses a snapshot that is older than the table.
    pub fn load_snapshot(
        &mut self,
        revision: RevisionNumber,
        records: &[ConfigurationRecord],
    ) -> Result<Vec<ConfigurationRecord>, StaleBatch> {
        if revision < self.revision {
            return Err(StaleBatch::Older { given: revision, revision: self.revision });
        }
        let present: BTreeSet<_> = records.iter().map(|record| &*record.key).collect();
        let deletions = self.deletions_of_absent(&present, revision.saturating_add(1), revision);
        let newest = records.iter().chain(&deletions).map(|record| record.revision).max();
        let changed =
            records.iter().chain(&deletions).filter_map(|record| self.put(record)).collect();
        self.revision = self.revision.max(newest.unwrap_or(0).min(revision));
        self.target_revision = self.revision;
        self.store_revision = self.store_revision.max(revision);
        Ok(changed)
    }

    /// Reconciles this table with the complete table of a peer, and returns the records that are
    /// new.
    ///
    /// A record that this table lacks at its own revision was deleted, so only later records and
    /// missed deletions are applied.
    pub fn reconcile(&mut self, other: &Self) -> Vec<ConfigurationRecord> {
        let present: BTreeSet<_> = other.records().map(|record| &*record.key).collect();
        let deletions = self.deletions_of_absent(&present, other.revision, other.revision);
        let own_revision = self.revision;
        let newer = other.records.values().filter(|record| record.revision > own_revision);
        let changed: Vec<_> =
            newer.chain(&deletions).filter_map(|record| self.put(record)).collect();
        self.revision = self.revision.max(other.revision);
        self.target_revision = self.target_revision.max(other.target_revision);
        changed
    }

    /// Returns a deletion at `revision` for each record older than `before` that is not `present`.
    fn deletions_of_absent(
        &self,
        present: &BTreeSet<&str>,
        before: RevisionNumber,
        revision: RevisionNumber,
    ) -> Vec<ConfigurationRecord> {
        self.records()
            .filter(|record| record.revision < before && !present.contains(&*record.key))
            .map(|record| ConfigurationRecord {
                key: record.key.clone(),
                revision,
                body: Arc::from(""),
            })
            .collect()
    }

    /// Stores a record, and returns it if it is newer than the one that the table held.
    fn put(&mut self, record: &ConfigurationRecord) -> Option<ConfigurationRecord> {
        if let Some(known) = self.records.get(&record.key) {
            if known.revision >= record.revision {
                return None;
            }
            let index_key = (known.revision, known.key.clone());
            self.digest ^= record_hash(known);
            self.by_revision.remove(&index_key);
            self.tombstones.remove(&index_key);
        }
        let index_key = (record.revision, record.key.clone());
        if record.is_deleted() {
            self.tombstones.insert(index_key.clone());
        }
        self.digest ^= record_hash(record);
        self.by_revision.insert(index_key);
        self.records.insert(record.key.clone(), record.clone());
        self.evict_tombstones();
        Some(record.clone())
    }

    /// Removes the oldest deletions beyond [`MAX_TOMBSTONES`].
    fn evict_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES
            && let Some(index_key) = self.tombstones.pop_first()
        {
            self.by_revision.remove(&index_key);
            self.records.remove(&index_key.1);
        }
    }
}

impl ConfigTable {
    /// Returns the newest revision in force.
    pub fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// Returns whether the table holds the whole state at its revision; false between two batches.
    pub fn is_complete(&self) -> bool {
        self.revision >= self.target_revision
    }

    /// Returns the digest of all records that are not deleted.
    ///
    /// It is 0 only while the table is incomplete.
    pub fn digest(&self) -> u64 {
        if self.is_complete() { mix(self.digest).max(1) } else { 0 }
    }

    /// Returns the record of `key`; none if it is deleted or never existed.
    pub fn get(&self, key: &str) -> Option<&ConfigurationRecord> {
        self.records.get(key).filter(|record| !record.is_deleted())
    }

    /// Returns all records that are not deleted, by key.
    pub fn records(&self) -> impl Iterator<Item = &ConfigurationRecord> {
        self.records.values().filter(|record| !record.is_deleted())
    }

    /// Returns the next batch for a table that ends at `since`.
    pub fn batch(&self, since: RevisionNumber) -> ConfigurationBatch {
        let start = (since.saturating_add(1), Arc::from(""));
        let mut records: Vec<ConfigurationRecord> = Vec::new();
        let mut bytes = 0;
        let mut through = self.revision.max(since);
        for (revision, key) in self.by_revision.range(start..) {
            let is_full = records.len() >= MAX_RECORDS || bytes >= MAX_BYTES;
            if let Some(last) = records.last()
                && is_full
                && last.revision < *revision
            {
                through = last.revision;
                break;
            }
            if let Some(record) = self.records.get(key) {
                bytes += record.key.len() + record.body.len();
                records.push(record.clone());
            }
        }
        let newest = self.revision.max(self.target_revision);
        ConfigurationBatch { since, through, newest, records }
    }
}

/// Returns the share of a record in the digest; 0 if it is deleted.
fn record_hash(record: &ConfigurationRecord) -> u64 {
    match record.is_deleted() {
        true => 0,
        false => hash_text(record.revision, &record.key),
    }
}

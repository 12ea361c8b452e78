//! Table of the resources that a node applies, updated by batches from the store and from peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use thiserror::Error;

use super::ResourceKey;
use super::ResourceRecord;
use super::ResourceSnapshot;
use super::ResourceUpdate;
use super::UpdateBatch;
use super::UpdateState;
use super::VersionedRecord;
use crate::types::RevisionNumber;

/// Maximum number of deletions that the table keeps, so that batches for peers can include them.
const MAX_REMOVALS: usize = 4_096;

/// Describes how an update changed one resource.
#[derive(Clone, Debug, PartialEq)]
pub enum ResourceChange {
    /// The resource is new.
    Added(Arc<ResourceRecord>),
    /// The fields of the resource were replaced.
    Replaced {
        /// Record before the update.
        before: Arc<ResourceRecord>,
        /// Record after the update.
        after: Arc<ResourceRecord>,
    },
    /// The resource was deleted; holds its last record.
    Removed(Arc<ResourceRecord>),
}

/// Reports a batch that starts after the revision of the table, so that changes are missing.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error(
    "the batch follows revision {base}, but the table is at {current}; request the changes after \
     revision {current}"
)]
pub struct GapError {
    /// Revision after which the changes of the batch start.
    pub base: RevisionNumber,
    /// Revision of the table.
    pub current: RevisionNumber,
}

/// Holds the newest known version of each resource, and applies only newer ones.
///
/// Batches may arrive repeatedly and in any order; the table never returns to an older revision.
#[derive(Clone, Debug, Default)]
pub struct ResourceTable {
    current: Arc<ResourceSnapshot>,
    /// Deleted resources, with the revisions of their deletion.
    removals: BTreeMap<ResourceKey, RevisionNumber>,
    /// Resources whose newest version cannot be read, with its revision.
    unreadable: BTreeMap<ResourceKey, RevisionNumber>,
    /// Revision after which `removals` holds every deletion.
    removals_since: RevisionNumber,
}

impl ResourceTable {
    /// Creates an empty table at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the updates of `batch` that are newer than the table, and returns the changes.
    ///
    /// A batch that ends at or before the table's revision changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`GapError`] if changes between the table's revision and the batch are missing.
    pub fn apply(&mut self, batch: &UpdateBatch) -> Result<Vec<ResourceChange>, GapError> {
        let current = self.current.revision;
        if let Some(base) = batch.base.filter(|base| *base > current) {
            return Err(GapError { base, current });
        }
        if batch.revision <= current {
            return Ok(Vec::new());
        }
        let mut changes = Vec::new();
        if batch.base.is_none() {
            changes.extend(self.remove_absent(batch));
            self.removals_since = batch.revision;
        }
        for update in &batch.updates {
            changes.extend(self.apply_update(update));
        }
        Arc::make_mut(&mut self.current).revision = batch.revision;
        self.evict_removals();
        Ok(changes)
    }

    /// Deletes the resources that a complete batch does not list.
    fn remove_absent(&mut self, batch: &UpdateBatch) -> Vec<ResourceChange> {
        let listed: BTreeSet<_> = batch.updates.iter().map(|update| &update.key).collect();
        let absent: Vec<_> =
            self.current.records.keys().filter(|key| !listed.contains(key)).cloned().collect();
        absent
            .into_iter()
            .filter_map(|key| self.apply_update(&ResourceUpdate::removed(key, batch.revision)))
            .collect()
    }

    /// Applies one update if it is newer than what the table knows of its resource.
    fn apply_update(&mut self, update: &ResourceUpdate) -> Option<ResourceChange> {
        if update.revision <= self.revision_of(&update.key) {
            return None;
        }
        let key = update.key.clone();
        self.unreadable.remove(&key);
        match &update.state {
            UpdateState::Present(record) => self.put_record(key, record.clone(), update.revision),
            UpdateState::Removed => {
                self.removals.insert(key.clone(), update.revision);
                let removed = Arc::make_mut(&mut self.current).records.remove(&key)?;
                Some(ResourceChange::Removed(removed.record))
            },
            UpdateState::Unreadable => {
                self.unreadable.insert(key, update.revision);
                None
            },
        }
    }

    fn put_record(
        &mut self,
        key: ResourceKey,
        record: Arc<ResourceRecord>,
        revision: RevisionNumber,
    ) -> Option<ResourceChange> {
        self.removals.remove(&key);
        let versioned = VersionedRecord { record: record.clone(), revision };
        match Arc::make_mut(&mut self.current).records.insert(key, versioned) {
            None => Some(ResourceChange::Added(record)),
            Some(before) if before.record.spec == record.spec => None,
            Some(before) => Some(ResourceChange::Replaced { before: before.record, after: record }),
        }
    }

    /// Evicts the oldest deletions if there are too many.
    fn evict_removals(&mut self) {
        while self.removals.len() > MAX_REMOVALS {
            let oldest = self.removals.iter().min_by_key(|(_, revision)| **revision);
            let Some((key, revision)) = oldest.map(|(key, revision)| (key.clone(), *revision))
            else {
                return;
            };
            self.removals.remove(&key);
            self.removals_since = self.removals_since.max(revision);
        }
    }

    /// Returns the revision through which the table is complete.
    pub fn revision(&self) -> RevisionNumber {
        self.current.revision
    }

    /// Returns the current resources; later updates do not change the returned snapshot.
    pub fn snapshot(&self) -> Arc<ResourceSnapshot> {
        self.current.clone()
    }

    /// Returns the resources whose newest version cannot be read, with its revision.
    pub fn unreadable(&self) -> impl Iterator<Item = (&ResourceKey, RevisionNumber)> {
        self.unreadable.iter().map(|(key, revision)| (key, *revision))
    }

    /// Returns the batch that brings a peer from the revision `base` to that of the table.
    ///
    /// The batch holds the whole state if the peer is new or the table no longer has all deletions
    /// after `base`.
    pub fn changes_after(&self, base: RevisionNumber) -> UpdateBatch {
        let complete = base < self.removals_since || base == 0;
        let after = if complete { 0 } else { base };
        let records = self.current.records.values().filter(|versioned| versioned.revision > after);
        let present = records.map(|versioned| {
            ResourceUpdate::present_shared(versioned.record.clone(), versioned.revision)
        });
        let removed = self.removals.iter().filter(|(_, revision)| !complete && **revision > after);
        let removed =
            removed.map(|(key, revision)| ResourceUpdate::removed(key.clone(), *revision));
        let unreadable = self.unreadable.iter().filter(|(_, revision)| **revision > after);
        let unreadable = unreadable
            .filter(|(key, _)| !self.current.records.contains_key(key) || !complete)
            .map(|(key, revision)| ResourceUpdate::unreadable(key.clone(), *revision));
        let updates = present.chain(removed).chain(unreadable).collect();
        UpdateBatch { base: (!complete).then_some(base), revision: self.revision(), updates }
    }

    /// Returns the revision of the newest known write of a resource; 0 if there is none.
    fn revision_of(&self, key: &ResourceKey) -> RevisionNumber {
        let present = self.current.records.get(key).map(|versioned| versioned.revision);
        let removed = self.removals.get(key).copied();
        let unreadable = self.unreadable.get(key).copied();
        present.max(removed).max(unreadable).unwrap_or_default()
    }
}

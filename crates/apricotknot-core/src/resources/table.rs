//! The resources that a node has in force, and how newer ones take their place.

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

/// Deletions that the table remembers, so that a batch for a peer can tell of them.
const MAX_REMOVALS: usize = 4_096;

/// Says how one resource differs from what was in force before.
#[derive(Clone, Debug, PartialEq)]
pub enum ResourceChange {
    /// The resource is new.
    Added(Arc<ResourceRecord>),
    /// The resource holds a new record.
    Replaced {
        /// Record that was in force.
        before: Arc<ResourceRecord>,
        /// Record that is in force.
        after: Arc<ResourceRecord>,
    },
    /// The resource is gone.
    Removed(Arc<ResourceRecord>),
}

/// Reports a batch that does not follow on what the table holds.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error(
    "the batch follows revision {base}, but the table is at {current}; ask for changes after it"
)]
pub struct GapError {
    /// Revision that the batch follows on.
    pub base: RevisionNumber,
    /// Revision that the table holds.
    pub current: RevisionNumber,
}

/// Holds the newest resources known, and takes only newer ones.
#[derive(Clone, Debug, Default)]
pub struct ResourceTable {
    current: Arc<ResourceSnapshot>,
    removals: BTreeMap<ResourceKey, RevisionNumber>,
    unreadable: BTreeMap<ResourceKey, RevisionNumber>,
    removals_since: RevisionNumber,
}

impl ResourceTable {
    /// Creates an empty table at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    // Commands.

    /// Applies what is newer in `batch`, and returns what that changed.
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

    fn remove_absent(&mut self, batch: &UpdateBatch) -> Vec<ResourceChange> {
        let listed: BTreeSet<_> = batch.updates.iter().map(|update| &update.key).collect();
        let absent: Vec<_> =
            self.current.records.keys().filter(|key| !listed.contains(key)).cloned().collect();
        absent
            .into_iter()
            .filter_map(|key| self.apply_update(&ResourceUpdate::removed(key, batch.revision)))
            .collect()
    }

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

    // Queries.

    /// Returns the revision through which the table is complete.
    pub fn revision(&self) -> RevisionNumber {
        self.current.revision
    }

    /// Returns the resources in force.
    pub fn snapshot(&self) -> Arc<ResourceSnapshot> {
        self.current.clone()
    }

    /// Returns the resources whose newest version cannot be read, with its revision.
    pub fn unreadable(&self) -> impl Iterator<Item = (&ResourceKey, RevisionNumber)> {
        self.unreadable.iter().map(|(key, revision)| (key, *revision))
    }

    /// Returns what a peer that is complete through `base` is missing.
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

    fn revision_of(&self, key: &ResourceKey) -> RevisionNumber {
        let present = self.current.records.get(key).map(|versioned| versioned.revision);
        let removed = self.removals.get(key).copied();
        let unreadable = self.unreadable.get(key).copied();
        present.max(removed).max(unreadable).unwrap_or_default()
    }
}

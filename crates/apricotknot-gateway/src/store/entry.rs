//! Values of the requests and answers of the key-value service.

use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::types::EraNumber;
use apricotknot_core::types::RevisionNumber;

/// Identifies a lease of the key-value service.
pub type LeaseId = i64;

/// Holds a lease and the era in which it was granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreLease {
    /// Era in which the lease was granted.
    pub era: EraNumber,
    /// Id of the lease, which another lease may have in another era.
    pub id: LeaseId,
}

/// Holds one key with its value and the revision that last wrote it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreEntry {
    /// Key of the entry.
    pub key: Arc<str>,
    /// Value of the key.
    pub value: Vec<u8>,
    /// Revision of the write that set the value.
    pub mod_revision: RevisionNumber,
}

/// Holds the entries under a prefix as of one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyRange {
    /// Entries, ordered by key.
    pub entries: Vec<StoreEntry>,
    /// Revision of the store at which the entries were read.
    pub revision: RevisionNumber,
    /// Era of the store.
    pub era: EraNumber,
}

/// States the revision that a key must have for a swap to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExpectedRevision {
    /// The key must not exist.
    Absent,
    /// The last write of the key must have been at this revision.
    At(RevisionNumber),
}

/// Describes a compare-and-swap of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SwapRequest {
    /// Key to change.
    pub key: Arc<str>,
    /// Revision that the key must have.
    pub expected: ExpectedRevision,
    /// New value, or `None` to delete the key.
    pub value: Option<Vec<u8>>,
    /// Lease that the key is bound to, if any.
    pub lease: Option<LeaseId>,
    /// Era to which the expected revision and the lease belong, if the store has eras.
    pub era: Option<EraNumber>,
}

impl SwapRequest {
    /// Creates a request that writes a key if it does not exist yet.
    pub fn create(key: impl Into<Arc<str>>, value: impl Into<Vec<u8>>) -> Self {
        Self {
            key: key.into(),
            expected: ExpectedRevision::Absent,
            value: Some(value.into()),
            lease: None,
            era: None,
        }
    }

    /// Creates a request that replaces a value if its last write was at `revision`.
    pub fn replace(
        key: impl Into<Arc<str>>,
        revision: RevisionNumber,
        value: impl Into<Vec<u8>>,
    ) -> Self {
        Self {
            key: key.into(),
            expected: ExpectedRevision::At(revision),
            value: Some(value.into()),
            lease: None,
            era: None,
        }
    }

    /// Creates a request that deletes a key if its last write was at `revision`.
    pub fn delete(key: impl Into<Arc<str>>, revision: RevisionNumber) -> Self {
        Self {
            key: key.into(),
            expected: ExpectedRevision::At(revision),
            value: None,
            lease: None,
            era: None,
        }
    }

    /// Binds the key to a lease; the service removes the key when the lease expires.
    pub fn lease(mut self, lease: impl Into<Option<LeaseId>>) -> Self {
        self.lease = lease.into();
        self
    }

    /// Binds the key to a lease of one era, to which the expected revision belongs too.
    pub fn lease_in_era(mut self, lease: StoreLease) -> Self {
        self.lease = Some(lease.id);
        self.era = Some(lease.era);
        self
    }
}

/// Reports the result of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The swap took effect at `revision`.
    Written {
        /// Revision of the write.
        revision: RevisionNumber,
    },
    /// The key did not have the expected revision, so nothing was changed.
    Conflict {
        /// Current entry of the key, or `None` if the key does not exist.
        current: Option<StoreEntry>,
        /// Revision of the store at which the current entry was read.
        revision: RevisionNumber,
    },
}

/// Reports one change of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// A key was written.
    Put(StoreEntry),
    /// A key was deleted.
    Delete {
        /// Key that was deleted.
        key: Arc<str>,
        /// Revision of the deletion.
        revision: RevisionNumber,
    },
}

impl WatchEvent {
    /// Returns the key that was written or deleted.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Delete { key, .. } => key,
        }
    }
}

/// Limits the time of one call that watches for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchLimits {
    /// Longest time to wait for the first change.
    pub wait: Duration,
    /// Longest time from the head of the answer to its last byte.
    pub transfer: Duration,
}

/// Reports changes in the order in which the store made them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchBatch {
    /// Revision up to which all changes have been reported.
    pub revision: RevisionNumber,
    /// Era of the store.
    pub era: EraNumber,
    /// Changes, oldest first; empty if there were none.
    pub events: Vec<WatchEvent>,
    /// Time from the head of the answer to its last byte.
    pub transfer: Duration,
}

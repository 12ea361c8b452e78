//! Messages with configuration records.

use std::sync::Arc;

use crate::types::RevisionNumber;

/// Holds the newest write of one resource.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigurationRecord {
    /// Key of the resource, `KIND/NAME`.
    pub key: Arc<str>,
    /// Revision of the newest write.
    pub revision: RevisionNumber,
    /// Resource as JSON; empty if the write deleted the resource.
    pub body: Arc<str>,
}

impl ConfigurationRecord {
    /// Returns whether the write deleted the resource.
    pub fn is_deleted(&self) -> bool {
        self.body.is_empty()
    }
}

/// Holds the records that changed after one revision and up to another, by revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigurationBatch {
    /// Revision after which the receiver requested records.
    pub since: RevisionNumber,
    /// Revision that the receiver reaches with this batch.
    pub through: RevisionNumber,
    /// Newest revision at which the sender's table is or will be complete.
    ///
    /// More batches follow while it is larger than `through`.
    pub newest: RevisionNumber,
    /// Records that changed, oldest first.
    pub records: Vec<ConfigurationRecord>,
}

//! Changes of resources, as they travel from the store and between nodes.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::ResourceKey;
use super::ResourceRecord;
use crate::types::RevisionNumber;

/// Says what a resource became.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpdateState {
    /// The resource holds this record.
    Present(Arc<ResourceRecord>),
    /// The resource was deleted.
    Removed,
    /// The resource was written, but cannot be read; its last good version stays in force.
    Unreadable,
}

/// Says what one resource became, and at which revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResourceUpdate {
    /// Resource.
    pub key: ResourceKey,
    /// Revision of the write.
    pub revision: RevisionNumber,
    /// What it became.
    pub state: UpdateState,
}

impl ResourceUpdate {
    /// Creates an update that says that `record` was written, and sets its generation.
    pub fn present(mut record: ResourceRecord, revision: RevisionNumber) -> Self {
        record.generation = revision;
        Self::present_shared(Arc::new(record), revision)
    }

    pub(super) fn present_shared(record: Arc<ResourceRecord>, revision: RevisionNumber) -> Self {
        let key = ResourceKey::new(record.spec.kind(), record.name.clone());
        Self { key, revision, state: UpdateState::Present(record) }
    }

    /// Creates an update that says that `key` was deleted.
    pub fn removed(key: ResourceKey, revision: RevisionNumber) -> Self {
        Self { key, revision, state: UpdateState::Removed }
    }

    /// Creates an update that says that `key` holds something that cannot be read.
    pub fn unreadable(key: ResourceKey, revision: RevisionNumber) -> Self {
        Self { key, revision, state: UpdateState::Unreadable }
    }
}

/// Holds the changes between two revisions, or the whole state as of one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpdateBatch {
    /// Revision that the changes follow on; `None` where the batch holds the whole state.
    pub base: Option<RevisionNumber>,
    /// Revision through which the batch is complete.
    pub revision: RevisionNumber,
    /// Latest change of each resource that changed; order does not matter.
    pub updates: Vec<ResourceUpdate>,
}

impl UpdateBatch {
    /// Creates a batch that holds the whole state as of `revision`.
    pub fn complete(revision: RevisionNumber, updates: Vec<ResourceUpdate>) -> Self {
        Self { base: None, revision, updates }
    }

    /// Creates a batch that holds all changes after `base` through `revision`.
    pub fn incremental(
        base: RevisionNumber,
        revision: RevisionNumber,
        updates: Vec<ResourceUpdate>,
    ) -> Self {
        Self { base: Some(base), revision, updates }
    }
}

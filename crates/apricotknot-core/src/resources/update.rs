//! Updates of resources, as nodes receive them from the store and exchange them with peers.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::ResourceKey;
use super::ResourceRecord;
use crate::types::RevisionNumber;

/// Describes the state of a resource after an update.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpdateState {
    /// The resource has this record.
    Present(Arc<ResourceRecord>),
    /// The resource was deleted.
    Removed,
    /// The new version cannot be read; the last readable one stays in effect.
    Unreadable,
}

/// Describes one write of a resource.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResourceUpdate {
    /// Resource that was written.
    pub key: ResourceKey,
    /// Revision of the write.
    pub revision: RevisionNumber,
    /// State after the write.
    pub state: UpdateState,
}

impl ResourceUpdate {
    /// Creates an update for a written record, and sets its generation to the revision.
    pub fn present(mut record: ResourceRecord, revision: RevisionNumber) -> Self {
        record.generation = revision;
        Self::present_shared(Arc::new(record), revision)
    }

    /// Creates an update for a written record that already has its generation.
    pub(super) fn present_shared(record: Arc<ResourceRecord>, revision: RevisionNumber) -> Self {
        let key = ResourceKey::new(record.spec.kind(), record.name.clone());
        Self { key, revision, state: UpdateState::Present(record) }
    }

    /// Creates an update for a deleted resource.
    pub fn removed(key: ResourceKey, revision: RevisionNumber) -> Self {
        Self { key, revision, state: UpdateState::Removed }
    }

    /// Creates an update for a resource whose new version cannot be read.
    pub fn unreadable(key: ResourceKey, revision: RevisionNumber) -> Self {
        Self { key, revision, state: UpdateState::Unreadable }
    }
}

/// Holds the updates between two revisions, or the whole state as of one revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpdateBatch {
    /// Revision after which the updates start; `None` if the batch holds the whole state.
    pub base: Option<RevisionNumber>,
    /// Revision through which the batch is complete.
    pub revision: RevisionNumber,
    /// Newest update of each changed resource, in any order.
    pub updates: Vec<ResourceUpdate>,
}

impl UpdateBatch {
    /// Creates a batch that holds the whole state as of `revision`.
    pub fn complete(revision: RevisionNumber, updates: Vec<ResourceUpdate>) -> Self {
        Self { base: None, revision, updates }
    }

    /// Creates a batch that holds all updates after `base` through `revision`.
    pub fn incremental(
        base: RevisionNumber,
        revision: RevisionNumber,
        updates: Vec<ResourceUpdate>,
    ) -> Self {
        Self { base: Some(base), revision, updates }
    }
}

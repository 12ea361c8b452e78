//! Answers to writes, deletions and queries of resources.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::resources::CapacityOutlook;
use crate::resources::ResourceKey;
use crate::resources::ResourceRecord;
use crate::types::RevisionNumber;

/// Answers a successful write, drain or undrain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WriteAnswer {
    /// Record as it is stored.
    pub record: ResourceRecord,
    /// Revision of the store at which it holds the record.
    pub revision: RevisionNumber,
    /// Whether the record was changed; `false` if it already had these values.
    pub changed: bool,
    /// Whether the change is stored; `false` for a drain that is known only to the nodes.
    pub durable: bool,
    /// Capacity that each affected service has left after a drain.
    #[serde(default)]
    pub outlook: Vec<CapacityOutlook>,
    /// Warnings for the operator.
    #[serde(default)]
    pub warnings: Vec<Arc<str>>,
}

/// Answers a successful deletion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeleteAnswer {
    /// Resource that was deleted.
    pub key: ResourceKey,
}

/// Answers a query for one resource or for all of a kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListAnswer {
    /// Revision at which the records were read.
    pub revision: RevisionNumber,
    /// Records, ordered by name.
    pub items: Vec<ResourceRecord>,
}

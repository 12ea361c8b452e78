//! Status of the fleet: which revision of the resources each node applies.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::resources::ResourceKey;
use crate::types::DataCentreId;
use crate::types::NodeId;
use crate::types::RevisionNumber;

/// Describes which revision one node applies, as far as the answering node knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: NodeId,
    /// Data centre of the node.
    pub data_centre: DataCentreId,
    /// Revision that the node applies; `None` if it has not reported one.
    pub revision: Option<RevisionNumber>,
    /// Reason for which the node may be behind, if it is known.
    #[serde(default)]
    pub reason: Option<Arc<str>>,
}

/// Describes the calls of the answering node to the key-value service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreStatus {
    /// Whether the last call was answered.
    pub reachable: bool,
    /// Calls made since the node started.
    pub calls: u64,
    /// Calls that failed since the node started.
    pub failures: u64,
    /// Failure of the last call, if it failed.
    #[serde(default)]
    pub last_failure: Option<Arc<str>>,
}

/// Answers a query for the status of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusAnswer {
    /// Newest revision that the answering node applies.
    pub revision: RevisionNumber,
    /// Known nodes, including the answering one.
    pub nodes: Vec<NodeStatus>,
    /// Resources whose newest version cannot be read; the last readable version stays in effect.
    #[serde(default)]
    pub unreadable: Vec<ResourceKey>,
    /// Endpoints that refer to a service or data centre that does not exist; they receive no
    /// requests.
    #[serde(default)]
    pub dangling: Vec<Arc<str>>,
    /// Calls of the answering node to the key-value service.
    pub store: StoreStatus,
}

impl StatusAnswer {
    /// Returns the newest revision that any known node applies.
    pub fn newest_revision(&self) -> RevisionNumber {
        let revisions = self.nodes.iter().filter_map(|node| node.revision);
        revisions.max().unwrap_or_default().max(self.revision)
    }

    /// Returns the number of nodes that apply the newest revision.
    pub fn up_to_date_nodes(&self) -> usize {
        let newest = self.newest_revision();
        self.nodes.iter().filter(|node| node.revision == Some(newest)).count()
    }
}

//! What is in force on how many nodes.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::resources::ResourceKey;
use crate::types::DataCentreId;
use crate::types::NodeId;
use crate::types::RevisionNumber;

/// Says which revision one node has in force, as far as the asked node knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// Node.
    pub node: NodeId,
    /// Data centre of the node.
    pub data_centre: DataCentreId,
    /// Revision that the node has in force; none where it has not said.
    pub revision: Option<RevisionNumber>,
    /// Why the node may lag, where that is known.
    #[serde(default)]
    pub reason: Option<Arc<str>>,
}

/// Says how the asked node fares with the key-value service.
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

/// Answers what is in force on how many nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatusAnswer {
    /// Newest revision that the asked node has in force.
    pub revision: RevisionNumber,
    /// Nodes known, the asked one included.
    pub nodes: Vec<NodeStatus>,
    /// Resources whose newest version cannot be read; the last good one is in force.
    #[serde(default)]
    pub unreadable: Vec<ResourceKey>,
    /// Endpoints that refer to a service or data centre that does not exist; they get no work.
    #[serde(default)]
    pub dangling: Vec<Arc<str>>,
    /// How the asked node fares with the key-value service.
    pub store: StoreStatus,
}

impl StatusAnswer {
    /// Returns the newest revision that any node has in force.
    pub fn newest_revision(&self) -> RevisionNumber {
        let revisions = self.nodes.iter().filter_map(|node| node.revision);
        revisions.max().unwrap_or_default().max(self.revision)
    }

    /// Returns the number of nodes that have the newest revision in force.
    pub fn up_to_date_nodes(&self) -> usize {
        let newest = self.newest_revision();
        self.nodes.iter().filter(|node| node.revision == Some(newest)).count()
    }
}

//! Registry of the fleet's nodes, which discover one another through the key-value service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::PromptPartId;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::WindowNumber;
use serde::Deserialize;
use serde::Serialize;

use crate::duties::UsageRecord;
use crate::peers::SnapshotPeer;

/// Prefix of the keys under which nodes announce themselves.
const NODE_PREFIX: &str = "apricotknot/nodes/";

/// Prefix of the keys of prompt parts that crash endpoints.
const PART_PREFIX: &str = "apricotknot/quarantined-parts/";

/// Prefix of the keys of configurations that nodes keep, each under its version.
const CONFIGURATION_PREFIX: &str = "apricotknot/configurations/";

/// Key of the secret with which nodes sign their datagrams.
const SECRET_KEY: &str = "apricotknot/peer-secret";

/// Prefix of the keys of usage reports, each under the number of its window.
pub(crate) const USAGE_PREFIX: &str = "apricotknot/usage/";

/// Time for which a removed node still counts in the division of shared limits.
///
/// Its last requests still count against them.
const REMOVED_NODE_RETENTION: Duration = Duration::from_secs(10);

/// Record under which one node announces itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeRecord {
    /// Address at which the node receives load snapshots.
    pub address: SocketAddr,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Data centre that the node runs in; earlier versions do not write it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentreId>,
}

/// Change of one of the gateway's own keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistryChange {
    /// A node has announced itself.
    NodeAnnounced(NodeId, NodeRecord),
    /// The record of a node was removed.
    NodeRemoved(NodeId),
    /// The secret with which nodes sign was written.
    Secret(Vec<u8>),
    /// A prompt part was recorded as quarantined.
    PartQuarantined(PromptPartId),
    /// The record of a quarantined prompt part was removed.
    PartReleased(PromptPartId),
    /// The report on the usage of one window was decided.
    UsageDecided(UsageRecord),
}

#[derive(Clone, Debug)]
struct KnownNode {
    record: NodeRecord,
    removed_at: Option<MonotonicTime>,
}

/// Holds the nodes of the fleet, including this one.
#[derive(Clone, Debug, Default)]
pub struct NodeRegistry {
    nodes: BTreeMap<NodeId, KnownNode>,
}

impl NodeRegistry {
    /// Adds a node, or replaces its record.
    pub fn set(&mut self, node: NodeId, record: NodeRecord) {
        self.nodes.insert(node, KnownNode { record, removed_at: None });
    }

    /// Records that a node is no longer announced; it still counts for a while.
    pub fn remove(&mut self, node: &str, now: MonotonicTime) {
        if let Some(known) = self.nodes.get_mut(node) {
            known.removed_at.get_or_insert(now);
        }
    }

    /// Records that no other nodes than those of `present` are announced.
    pub fn retain(&mut self, present: &[NodeId], now: MonotonicTime) {
        for (node, known) in &mut self.nodes {
            if !present.contains(node) {
                known.removed_at.get_or_insert(now);
            }
        }
    }

    /// Removes nodes whose retention has ended at `now`.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.nodes.retain(|_, known| {
            known.removed_at.is_none_or(|removed_at| removed_at + REMOVED_NODE_RETENTION > now)
        });
    }
}

impl NodeRegistry {
    /// Returns the number of nodes among which shared limits are divided, at least 1.
    pub fn count(&self) -> usize {
        self.nodes.len().max(1)
    }

    /// Returns the number of announced nodes whose names come before `own`.
    pub fn index_of(&self, own: &str) -> usize {
        let announced = self.nodes.iter().filter(|(_, known)| known.removed_at.is_none());
        announced.filter(|(node, _)| &***node < own).count()
    }

    /// Returns the names of the nodes among which shared limits are divided.
    pub fn names(&self) -> Vec<NodeId> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns whether `own` is the first of the announced nodes, in the order of their names.
    pub fn is_first(&self, own: &str) -> bool {
        let mut announced = self.nodes.iter().filter(|(_, known)| known.removed_at.is_none());
        announced.next().is_some_and(|(node, _)| &**node == own)
    }

    /// Returns the record of an announced node.
    pub fn announced(&self, node: &str) -> Option<&NodeRecord> {
        let known = self.nodes.get(node).filter(|known| known.removed_at.is_none())?;
        Some(&known.record)
    }

    /// Returns the nodes that get load snapshots: all except `own`, also those that left lately.
    pub fn snapshot_peers<'a>(&'a self, own: &'a str) -> impl Iterator<Item = SnapshotPeer> + 'a {
        let others = self.nodes.iter().filter(move |(node, _)| &***node != own);
        others.map(|(node, known)| SnapshotPeer {
            node: NodeId::clone(node),
            address: known.record.address,
            data_centre: known.record.data_centre.clone(),
        })
    }
}

/// Returns the key under which a node announces itself.
pub(super) fn node_key(node: &str) -> Arc<str> {
    format!("{NODE_PREFIX}{node}").into()
}

/// Returns the key under which nodes keep a version of the configuration.
pub(super) fn configuration_key(version: u64) -> Arc<str> {
    format!("{CONFIGURATION_PREFIX}{version:020}").into()
}

/// Returns whether nodes keep a version of the configuration under `key`.
pub(super) fn is_configuration_key(key: &str) -> bool {
    key.starts_with(CONFIGURATION_PREFIX)
}

/// Returns the key of the peer secret.
pub(super) fn secret_key() -> Arc<str> {
    SECRET_KEY.into()
}

/// Returns the key under which a quarantined prompt part is recorded.
pub(super) fn part_key(part: PromptPartId) -> Arc<str> {
    format!("{PART_PREFIX}{part:016x}").into()
}

/// Parses a record of the gateway; returns `None` for other keys and for unreadable records.
pub(super) fn parse_put(key: &str, value: &[u8]) -> Option<RegistryChange> {
    if key == SECRET_KEY {
        return Some(RegistryChange::Secret(value.to_vec()));
    }
    if let Some(part) = parse_part(key) {
        return Some(RegistryChange::PartQuarantined(part));
    }
    if key.starts_with(USAGE_PREFIX) {
        return serde_json::from_slice(value).ok().map(RegistryChange::UsageDecided);
    }
    let node = key.strip_prefix(NODE_PREFIX)?;
    let record = serde_json::from_slice(value).ok()?;
    Some(RegistryChange::NodeAnnounced(node.into(), record))
}

/// Parses the removal of a key of the gateway; returns `None` for other keys.
pub(super) fn parse_delete(key: &str) -> Option<RegistryChange> {
    if let Some(part) = parse_part(key) {
        return Some(RegistryChange::PartReleased(part));
    }
    key.strip_prefix(NODE_PREFIX).map(|node| RegistryChange::NodeRemoved(node.into()))
}

/// Returns the key of the usage report on a window.
pub(crate) fn usage_key(window: WindowNumber) -> Arc<str> {
    format!("{USAGE_PREFIX}{window:020}").into()
}

fn parse_part(key: &str) -> Option<PromptPartId> {
    PromptPartId::from_str_radix(key.strip_prefix(PART_PREFIX)?, 16).ok()
}

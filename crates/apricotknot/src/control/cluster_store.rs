//! Member list, node lease and suspect records in the key-value service.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use apricotknot_core::membership::MemberList;
use apricotknot_core::membership::StoredList;
use apricotknot_core::quarantine::QuarantineRecord;
use apricotknot_core::quarantine::SuspectTable;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::RevisionNumber;
use tokio::sync::Mutex;

use crate::store::KeyValueStore;
use crate::store::LeaseId;
use crate::store::StoreError;
use crate::store::SwapOutcome;
use crate::store::SwapRequest;

/// Key of the member list.
const LIST_KEY: &str = "/apricotknot/members";

/// Prefix of the keys that nodes attach their leases to.
const LEASE_PREFIX: &str = "/apricotknot/nodes/";

/// Key of the records of requests that crash endpoints.
const SUSPECT_KEY: &str = "/apricotknot/quarantine";

/// Reports how a write of the member list ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WriteOutcome {
    /// Another write came first; the list was not written.
    Conflicted,
    /// The list was written.
    Written,
}

/// Reads and writes the member list and the suspect records, and renews the node's lease.
pub(super) struct ClusterStore<S> {
    store: S,
    node: NodeId,
    lease: Mutex<Option<LeaseId>>,
}

impl<S: KeyValueStore> ClusterStore<S> {
    /// Creates the store access of `node`, which holds no lease yet.
    pub(super) fn new(store: S, node: NodeId) -> Self {
        Self { store, node, lease: Mutex::new(None) }
    }

    /// Writes the list if the key was last written at revision `expected`; 0 means never.
    pub(super) async fn write_list(
        &self,
        list: &MemberList,
        expected: RevisionNumber,
    ) -> Result<WriteOutcome, StoreError> {
        let value = serde_json::to_vec(list).unwrap_or_default();
        let request = match expected {
            0 => SwapRequest::create(LIST_KEY, value),
            revision => SwapRequest::replace(LIST_KEY, revision, value),
        };
        match self.store.swap(&request).await? {
            SwapOutcome::Written { .. } => Ok(WriteOutcome::Written),
            SwapOutcome::Conflict { .. } => Ok(WriteOutcome::Conflicted),
        }
    }

    /// Renews the node's lease, or requests a new one for `time` if there is none or it expired.
    pub(super) async fn renew_lease(&self, time: Duration) -> Result<(), StoreError> {
        let mut lease = self.lease.lock().await;
        if let Some(known) = *lease {
            if !self.store.renew_lease(known).await?.is_zero() {
                return Ok(());
            }
            *lease = None;
        }
        let granted = self.store.grant_lease(time).await?;
        self.attach_lease(granted).await?;
        *lease = Some(granted);
        Ok(())
    }

    async fn attach_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let key = format!("{LEASE_PREFIX}{}", self.node);
        let create = SwapRequest::create(key.clone(), "").lease(lease);
        let SwapOutcome::Conflict { current: Some(entry), .. } = self.store.swap(&create).await?
        else {
            return Ok(());
        };
        // The key still exists under an earlier lease of this node.
        let replace = SwapRequest::replace(key, entry.mod_revision, "").lease(lease);
        self.store.swap(&replace).await.map(|_| ())
    }

    /// Merges `records` into those of the key-value service, and returns the merged records.
    ///
    /// The result does not depend on the order of merges, so a write whose answer was lost may be
    /// repeated. A write that conflicts with another one is repeated until it succeeds.
    pub(super) async fn merge_suspects(
        &self,
        records: &[QuarantineRecord],
    ) -> Result<Vec<QuarantineRecord>, StoreError> {
        loop {
            let entry = self.store.get(SUSPECT_KEY).await?;
            let known = entry.as_ref().map(|entry| entry.value.as_slice()).unwrap_or(b"[]");
            let known: Vec<QuarantineRecord> = serde_json::from_slice(known).unwrap_or_default();
            let mut table = SuspectTable::new();
            let wall = wall_time();
            table.merge(known.iter().cloned(), wall);
            table.merge(records.iter().cloned(), wall);
            let merged: Vec<QuarantineRecord> = table.records().cloned().collect();
            if merged == known {
                return Ok(merged);
            }
            let value = serde_json::to_vec(&merged).unwrap_or_default();
            let request = match entry {
                None => SwapRequest::create(SUSPECT_KEY, value),
                Some(entry) => SwapRequest::replace(SUSPECT_KEY, entry.mod_revision, value),
            };
            if let SwapOutcome::Written { .. } = self.store.swap(&request).await? {
                return Ok(merged);
            }
        }
    }

    /// Reads the member list and the nodes that hold a lease.
    pub(super) async fn read_list(&self) -> Result<StoredList, StoreError> {
        let leased = self.store.range(LEASE_PREFIX).await?;
        let entry = self.store.get(LIST_KEY).await?;
        let leased: BTreeSet<NodeId> = leased
            .entries
            .iter()
            .filter_map(|entry| entry.key.strip_prefix(LEASE_PREFIX))
            .map(NodeId::from)
            .collect();
        let Some(entry) = entry else {
            return Ok(StoredList { list: None, revision: 0, leased });
        };
        let list = serde_json::from_slice(&entry.value).ok();
        Ok(StoredList { list, revision: entry.mod_revision, leased })
    }
}

fn wall_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

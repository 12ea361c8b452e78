//! Fake key-value service that keeps every write.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::membership::ConfigurationBatch;
use apricotknot_core::membership::ConfigurationRecord;
use apricotknot_core::membership::MemberList;
use apricotknot_core::membership::StoredList;
use apricotknot_core::types::NodeId;

/// Holds each accepted write, and whether the service is unavailable.
#[derive(Default)]
pub(crate) struct FakeStore {
    pub(crate) is_down: bool,
    pub(crate) revision: u64,
    pub(crate) log: Vec<ConfigurationRecord>,
    pub(crate) lists: Vec<MemberList>,
    pub(crate) list_revision: u64,
    pub(crate) leases: BTreeMap<NodeId, Duration>,
}

impl FakeStore {
    pub(crate) fn write(&mut self, key: &str, body: &str) {
        self.revision += 1;
        let (key, body) = (Arc::from(key), Arc::from(body));
        self.log.push(ConfigurationRecord { key, revision: self.revision, body });
    }

    pub(crate) fn newest(&self) -> u64 {
        self.log.last().map_or(0, |record| record.revision)
    }

    /// Returns the records that existed at `revision`, by key.
    pub(crate) fn state_at(&self, revision: u64) -> BTreeMap<Arc<str>, ConfigurationRecord> {
        let mut state = BTreeMap::new();
        for record in self.log.iter().filter(|record| record.revision <= revision) {
            match record.is_deleted() {
                true => state.remove(&record.key),
                false => state.insert(record.key.clone(), record.clone()),
            };
        }
        state
    }

    pub(crate) fn writes_after(&self, since: u64) -> ConfigurationBatch {
        let records = self.log.iter().filter(|record| record.revision > since).cloned().collect();
        let through = self.newest().max(since);
        ConfigurationBatch { since, through, newest: through, records }
    }

    pub(crate) fn stored_list(&self, now: Duration) -> StoredList {
        let held = self.leases.iter().filter(|(_, until)| **until > now);
        let leased: BTreeSet<_> = held.map(|(node, _)| node.clone()).collect();
        StoredList { list: self.lists.last().cloned(), revision: self.list_revision, leased }
    }

    /// Writes the list if it was last written at `expected`; returns whether it was written.
    pub(crate) fn write_list(&mut self, list: &MemberList, expected: u64) -> bool {
        if self.list_revision != expected {
            return false;
        }
        self.revision += 1;
        self.list_revision = self.revision;
        self.lists.push(list.clone());
        true
    }
}

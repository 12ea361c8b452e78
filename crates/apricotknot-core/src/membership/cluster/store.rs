//! Handles responses of the key-value service.

use super::ClusterAction;
use super::ClusterState;
use crate::membership::ConfigurationBatch;
use crate::membership::ConfigurationRecord;
use crate::membership::StaleBatch;
use crate::membership::StoredList;
use crate::types::MonotonicTime;
use crate::types::RevisionNumber;

impl ClusterState {
    /// Handles the stored member list that the service returned.
    pub fn list_read(&mut self, stored: &StoredList, now: MonotonicTime) -> Vec<ClusterAction> {
        let mut actions = Vec::new();
        let list = self.keeper.list_read(stored, now);
        self.on_list(list, &mut actions);
        actions
    }

    /// Records that the service accepted the write of the member list.
    pub fn list_written(&mut self) -> Vec<ClusterAction> {
        let mut actions = Vec::new();
        let list = self.keeper.list_written();
        self.on_list(list, &mut actions);
        actions
    }

    /// Records that the write of the member list failed because another write came first.
    pub fn list_conflicted(&mut self, now: MonotonicTime) -> Vec<ClusterAction> {
        let mut actions = Vec::new();
        let list = self.keeper.list_conflicted(now);
        self.on_list(list, &mut actions);
        actions
    }

    /// Records that a read or write of the member list failed or that its response was lost.
    pub fn list_failed(&mut self, now: MonotonicTime) {
        self.keeper.list_failed(now);
    }

    /// Records that the service renewed the lease.
    pub fn lease_renewed(&mut self) {
        self.lease.renewed();
    }

    /// Records that a renewal of the lease failed or that its response was lost.
    pub fn lease_failed(&mut self) {
        self.lease.failed();
    }

    /// Applies all configuration writes that the service accepted after `batch.since`.
    ///
    /// # Errors
    ///
    /// Refuses writes that leave a gap after what is in force; the caller then reads the whole
    /// configuration and passes it to [`load_configuration`](Self::load_configuration).
    pub fn apply_writes(
        &mut self,
        batch: &ConfigurationBatch,
    ) -> Result<Vec<ClusterAction>, StaleBatch> {
        let config = self.replicator.apply_writes(batch)?;
        let mut actions = Vec::new();
        self.on_config(config, &mut actions);
        Ok(actions)
    }

    /// Applies the whole configuration as the service held it at `revision`.
    ///
    /// # Errors
    ///
    /// Refuses a configuration that is older than the one in force.
    pub fn load_configuration(
        &mut self,
        revision: RevisionNumber,
        records: &[ConfigurationRecord],
    ) -> Result<Vec<ClusterAction>, StaleBatch> {
        let config = self.replicator.load_snapshot(revision, records)?;
        let mut actions = Vec::new();
        self.on_config(config, &mut actions);
        Ok(actions)
    }
}

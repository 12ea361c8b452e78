//! Answers of the key-value service to the cluster state.

use super::ClusterAction;
use super::ClusterState;
use crate::membership::ConfigurationBatch;
use crate::membership::ConfigurationRecord;
use crate::membership::StaleBatch;
use crate::membership::StoredList;
use crate::types::MonotonicTime;
use crate::types::RevisionNumber;

/// Commands.
impl ClusterState {
    /// Takes the member list as the service holds it.
    pub fn list_read(&mut self, stored: &StoredList, now: MonotonicTime) -> Vec<ClusterAction> {
        let mut actions = Vec::new();
        let list = self.keeper.list_read(stored, now);
        self.on_list(list, &mut actions);
        actions
    }

    /// Takes that the service accepted the member list.
    pub fn list_written(&mut self) -> Vec<ClusterAction> {
        let mut actions = Vec::new();
        let list = self.keeper.list_written();
        self.on_list(list, &mut actions);
        actions
    }

    /// Takes that another write of the member list came first.
    pub fn list_conflicted(&mut self, now: MonotonicTime) -> Vec<ClusterAction> {
        let mut actions = Vec::new();
        let list = self.keeper.list_conflicted(now);
        self.on_list(list, &mut actions);
        actions
    }

    /// Takes that a call for the member list failed or that its answer was lost.
    pub fn list_failed(&mut self, now: MonotonicTime) {
        self.keeper.list_failed(now);
    }

    /// Takes that the service renewed the lease.
    pub fn lease_renewed(&mut self) {
        self.lease.renewed();
    }

    /// Takes that a renewal of the lease failed or that its answer was lost.
    pub fn lease_failed(&mut self) {
        self.lease.failed();
    }

    /// Takes writes of the configuration, all that came after `batch.since`.
    ///
    /// # Errors
    ///
    /// Refuses writes that do not continue what is in force; read the whole configuration then.
    pub fn apply_writes(
        &mut self,
        batch: &ConfigurationBatch,
    ) -> Result<Vec<ClusterAction>, StaleBatch> {
        let config = self.replicator.apply_writes(batch)?;
        let mut actions = Vec::new();
        self.on_config(config, &mut actions);
        Ok(actions)
    }

    /// Takes the whole configuration as the service held it at `revision`.
    ///
    /// # Errors
    ///
    /// Refuses a configuration that is older than what is in force.
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

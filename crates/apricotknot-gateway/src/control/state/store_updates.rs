//! Updates of the state by what is read from the key-value service.

use std::collections::BTreeSet;
use std::sync::Arc;

use apricotknot_core::routing::DesiredState;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;

use super::ControlState;
use crate::control::RegistryChange;
use crate::control::StoreUpdate;
use crate::protocol::RecordChange;

impl ControlState {
    /// Applies the complete content of the key-value service.
    ///
    /// Endpoints, evacuations and nodes that it does not contain are removed. After the service has
    /// come back from a copy, what the copy has lost is kept for a while. Returns the configuration
    /// if it is newer than the one in force.
    pub fn apply_snapshot(
        &mut self,
        mut update: StoreUpdate,
        now: MonotonicTime,
    ) -> Option<Arc<DesiredState>> {
        self.record_store_answer(now);
        if update.is_restored {
            self.record_restored(now);
        }
        self.remove_absent_endpoints(&update.record_changes, now);
        self.restore_absent_data_centres(&update.record_changes, now);
        let present = update.registry_changes.iter().filter_map(|change| match change {
            RegistryChange::NodeAnnounced(node, _) => Some(Arc::clone(node)),
            _ => None,
        });
        self.registry.retain(&present.collect::<Vec<_>>(), now);
        if self.restore_hold.is_active(now) {
            self.restore_hold.remove_outdated(&mut update.record_changes, &self.fleet);
        } else {
            self.quarantine.retain_recorded(&update.registry_changes);
        }
        self.apply_update(update, now)
    }

    /// Records that the service came back from a copy.
    fn record_restored(&mut self, now: MonotonicTime) {
        // Endpoints announce themselves again, as after an outage.
        self.missing_endpoints.begin(now);
        self.restore_hold.begin(now);
        self.configuration_versions.record_restored(self.registry.index_of(&self.node), now);
    }

    /// Removes the endpoints that a complete snapshot does not contain.
    fn remove_absent_endpoints(&mut self, records: &[RecordChange], now: MonotonicTime) {
        let present: BTreeSet<&EndpointId> = records
            .iter()
            .filter_map(|record| match record {
                RecordChange::EndpointAnnounced(entry) => Some(&entry.id),
                _ => None,
            })
            .collect();
        let known = self.fleet.endpoints().map(|state| &state.entry.id);
        let removed: Vec<_> = known.filter(|id| !present.contains(id)).cloned().collect();
        for endpoint in removed {
            self.remove_or_keep(&endpoint, now);
        }
    }

    /// Restores the data centres that a complete snapshot does not name as evacuated, unless the
    /// service may have lost their records.
    fn restore_absent_data_centres(&mut self, records: &[RecordChange], now: MonotonicTime) {
        let is_evacuated = |centre: &DataCentreId| {
            records.iter().any(|record| match record {
                RecordChange::DataCentreEvacuated(evacuated) => evacuated == centre,
                _ => false,
            })
        };
        let known = self.fleet.evacuated();
        let restored: Vec<_> = known.filter(|centre| !is_evacuated(centre)).cloned().collect();
        for centre in restored {
            match self.restore_hold.is_active(now) {
                true => self.restore_hold.hold_evacuated(centre),
                false => self.fleet.set_evacuated(centre, false, now),
            }
        }
    }

    /// Applies changes of the key-value service.
    ///
    /// Returns the configuration if it is newer than the one in force.
    pub fn apply_changes(
        &mut self,
        update: StoreUpdate,
        now: MonotonicTime,
    ) -> Option<Arc<DesiredState>> {
        self.record_store_answer(now);
        for record in &update.record_changes {
            if let RecordChange::EndpointAnnounced(entry) = record {
                self.missing_endpoints.record_written(&entry.id, now);
            }
        }
        self.apply_update(update, now)
    }

    /// Applies the records of a snapshot or of changes.
    fn apply_update(
        &mut self,
        update: StoreUpdate,
        now: MonotonicTime,
    ) -> Option<Arc<DesiredState>> {
        for change in update.registry_changes {
            self.apply_registry_change(change, now);
        }
        let mut newest = None;
        for record in update.record_changes {
            newest = self.apply_record_change(record, now).or(newest);
        }
        newest
    }

    /// Records that the key-value service is unreachable; returns whether it was reachable before.
    pub fn record_store_unreachable(&mut self, now: MonotonicTime) -> bool {
        self.store_contact.record_failure(now)
    }

    fn apply_registry_change(&mut self, change: RegistryChange, now: MonotonicTime) {
        self.next_node_count = now;
        self.quarantine.apply_registry_change(&change, now);
        match change {
            RegistryChange::NodeAnnounced(node, record) => self.registry.set(node, record),
            RegistryChange::NodeRemoved(node) => self.registry.remove(&node, now),
            RegistryChange::Secret(secret) => self.peer_secret = Some(secret),
            RegistryChange::PartQuarantined(_)
            | RegistryChange::PartReleased(_)
            | RegistryChange::UsageDecided(_) => {},
        }
    }

    fn apply_record_change(
        &mut self,
        record: RecordChange,
        now: MonotonicTime,
    ) -> Option<Arc<DesiredState>> {
        match record {
            RecordChange::Configuration(desired) => {
                self.configuration_versions.set_operator_version(desired.version);
                return self.apply_configuration(*desired);
            },
            RecordChange::KeptConfiguration(desired) => {
                self.configuration_versions.set_kept_version(desired.version);
                return self.apply_configuration(*desired);
            },
            RecordChange::EndpointAnnounced(entry) => {
                self.missing_endpoints.record_present(&entry.id);
                let known = self.fleet.endpoint(&entry.id).map(|state| state.entry.incarnation);
                if known.is_some_and(|incarnation| incarnation != entry.incarnation) {
                    self.quarantine.confirm_crashes(&entry.id, now);
                }
                self.fleet.set_endpoint(entry);
            },
            RecordChange::EndpointRemoved(endpoint) => {
                self.quarantine.confirm_crashes(&endpoint, now);
                self.remove_or_keep(&endpoint, now);
            },
            RecordChange::DataCentreEvacuated(centre) => {
                self.restore_hold.release_evacuated(&centre);
                self.fleet.set_evacuated(centre, true, now);
            },
            RecordChange::DataCentreRestored(centre) => {
                self.restore_hold.release_evacuated(&centre);
                self.fleet.set_evacuated(centre, false, now);
            },
        }
        None
    }

    /// Applies a configuration unless the one in force is as new or newer.
    fn apply_configuration(&mut self, desired: DesiredState) -> Option<Arc<DesiredState>> {
        if self.desired.as_ref().is_some_and(|known| known.version >= desired.version) {
            return None;
        }
        self.fleet.set_services(desired.services.clone());
        let desired = Arc::new(desired);
        self.desired = Some(Arc::clone(&desired));
        Some(desired)
    }

    fn record_store_answer(&mut self, now: MonotonicTime) {
        if self.store_contact.record_answer(now) {
            self.missing_endpoints.begin(now);
        }
    }

    /// Removes an endpoint whose record is gone.
    ///
    /// After an outage of the service it is kept for a while: its record may only have expired.
    fn remove_or_keep(&mut self, endpoint: &EndpointId, now: MonotonicTime) {
        if !self.missing_endpoints.keep(endpoint, now) {
            self.remove_endpoint(endpoint, now);
        }
    }

    fn remove_endpoint(&mut self, endpoint: &EndpointId, now: MonotonicTime) {
        if let Some(state) = self.fleet.endpoint(endpoint) {
            let incarnation = state.entry.incarnation;
            self.restore_hold.record_removed(Arc::clone(endpoint), incarnation, now);
        }
        self.fleet.remove_endpoint(endpoint);
    }

    /// Removes the endpoints that have not announced themselves again in time.
    ///
    /// While the service is unreachable again, none of them could do so.
    pub(super) fn remove_missing(&mut self, now: MonotonicTime) {
        if self.store_contact.is_outage() {
            return;
        }
        for endpoint in self.missing_endpoints.take_expired(now) {
            self.remove_endpoint(&endpoint, now);
        }
    }

    /// Takes the configuration in force if this node has to write it to the key-value service,
    /// which has lost it.
    pub fn take_lost_configuration(&mut self, now: MonotonicTime) -> Option<Arc<DesiredState>> {
        let desired = self.desired.as_ref()?;
        self.configuration_versions.take_write(desired.version, now).then(|| Arc::clone(desired))
    }
}

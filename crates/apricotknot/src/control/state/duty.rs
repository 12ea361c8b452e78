//! Duty of data centres and endpoints: as stored, or as nodes announced to one another since.

use apricotknot_core::membership::DrainNotice;
use apricotknot_core::membership::DrainSubject;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::EndpointSpec;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceKind;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSnapshot;
use apricotknot_core::resources::ResourceSpec;
use apricotknot_core::types::MonotonicTime;

use super::ControlEffect;
use super::ControlState;

impl ControlState {
    /// Announces the duty of a data centre or endpoint to all nodes without the key-value service.
    pub(super) fn announce(&mut self, key: &ResourceKey, duty: DutyState) {
        if let Some(subject) = subject_of(key.kind) {
            let is_out = duty == DutyState::Out;
            self.effects.push(ControlEffect::Announce { subject, name: key.name.clone(), is_out });
        }
    }

    /// Applies a node's announcement of the duty of a data centre or endpoint.
    pub(in crate::control) fn apply_notice(&mut self, notice: &DrainNotice, now: MonotonicTime) {
        let Some(kind) = kind_of(notice.subject) else {
            return;
        };
        let duty = if notice.out { DutyState::Out } else { DutyState::In };
        let key = ResourceKey::new(kind, notice.name.clone());
        if self.stored_duty(&key) == Some(duty) {
            self.duty_notices.remove(&key);
        } else {
            self.duty_notices.insert(key, duty);
        }
        let snapshot = self.table.snapshot();
        self.set_endpoints(&snapshot, now);
    }

    /// Replaces an announced duty by a stored one.
    ///
    /// Only a change of the stored duty replaces it, because a record that a node loads for the
    /// first time may be older than the notice.
    pub(super) fn supersede_notice(&mut self, before: &ResourceRecord, after: &ResourceRecord) {
        let stored = spec_duty(&after.spec);
        if spec_duty(&before.spec) == stored {
            return;
        }
        let key = ResourceKey::new(after.spec.kind(), after.name.clone());
        let Some(announced) = self.duty_notices.remove(&key) else {
            return;
        };
        // Nodes that start later must not receive the outdated notice.
        if let Some(stored) = stored.filter(|stored| *stored != announced) {
            self.announce(&key, stored);
        }
    }

    /// Returns whether new work may be sent to an endpoint, by its own duty and its data centre's.
    pub(super) fn effective_duty(
        &self,
        snapshot: &ResourceSnapshot,
        endpoint: &str,
        spec: &EndpointSpec,
    ) -> DutyState {
        let centre = ResourceKey::new(ResourceKind::DataCentre, spec.data_centre.clone());
        let stored_centre = snapshot.data_centre(&spec.data_centre).map(|centre| centre.duty);
        let centre = self.duty_notices.get(&centre).copied().or(stored_centre).unwrap_or_default();
        let endpoint = ResourceKey::new(ResourceKind::Endpoint, endpoint);
        let endpoint = self.duty_notices.get(&endpoint).copied().unwrap_or(spec.duty);
        match (centre, endpoint) {
            (DutyState::In, DutyState::In) => DutyState::In,
            _ => DutyState::Out,
        }
    }

    fn stored_duty(&self, key: &ResourceKey) -> Option<DutyState> {
        let snapshot = self.table.snapshot();
        spec_duty(&snapshot.get(key)?.record.spec)
    }
}

fn spec_duty(spec: &ResourceSpec) -> Option<DutyState> {
    match spec {
        ResourceSpec::DataCentre(spec) => Some(spec.duty),
        ResourceSpec::Endpoint(spec) => Some(spec.duty),
        _ => None,
    }
}

fn subject_of(kind: ResourceKind) -> Option<DrainSubject> {
    match kind {
        ResourceKind::DataCentre => Some(DrainSubject::DataCentre),
        ResourceKind::Endpoint => Some(DrainSubject::Endpoint),
        _ => None,
    }
}

fn kind_of(subject: DrainSubject) -> Option<ResourceKind> {
    match subject {
        DrainSubject::DataCentre => Some(ResourceKind::DataCentre),
        DrainSubject::Endpoint => Some(ResourceKind::Endpoint),
        DrainSubject::Node => None,
    }
}

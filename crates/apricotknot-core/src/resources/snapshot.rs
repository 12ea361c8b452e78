//! Immutable view of all resources at one revision.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use super::AccountSpec;
use super::AdmissionSpec;
use super::DataCentreSpec;
use super::DutyState;
use super::EndpointSpec;
use super::ResourceKey;
use super::ResourceKind;
use super::ResourceRecord;
use super::ResourceSpec;
use super::ServiceSpec;
use crate::types::RevisionNumber;

/// Holds a record and the revision that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedRecord {
    /// Record that was written.
    pub record: Arc<ResourceRecord>,
    /// Revision of the write.
    pub revision: RevisionNumber,
}

/// Holds all resources as of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResourceSnapshot {
    pub(super) revision: RevisionNumber,
    pub(super) records: BTreeMap<ResourceKey, VersionedRecord>,
}

impl ResourceSnapshot {
    /// Returns the revision through which the resources are complete.
    pub fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no resources.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the resource with `key`, if there is one.
    pub fn get(&self, key: &ResourceKey) -> Option<&VersionedRecord> {
        self.records.get(key)
    }

    /// Returns all resources, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&ResourceKey, &VersionedRecord)> {
        self.records.iter()
    }

    /// Returns the resources of one kind, ordered by name.
    pub fn of_kind(
        &self,
        kind: ResourceKind,
    ) -> impl Iterator<Item = (&Arc<str>, &VersionedRecord)> {
        let start = Bound::Included(ResourceKey::new(kind, ""));
        let records = self.records.range((start, Bound::Unbounded));
        records
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(key, versioned)| (&key.name, versioned))
    }

    /// Returns the client accounts, ordered by name.
    pub fn accounts(&self) -> impl Iterator<Item = (&Arc<str>, &AccountSpec)> {
        self.of_kind(ResourceKind::Account).filter_map(|(name, versioned)| {
            match &versioned.record.spec {
                ResourceSpec::Account(spec) => Some((name, spec)),
                _ => None,
            }
        })
    }

    /// Returns the data centres, ordered by name.
    pub fn data_centres(&self) -> impl Iterator<Item = (&Arc<str>, &DataCentreSpec)> {
        self.of_kind(ResourceKind::DataCentre).filter_map(|(name, versioned)| {
            match &versioned.record.spec {
                ResourceSpec::DataCentre(spec) => Some((name, spec)),
                _ => None,
            }
        })
    }

    /// Returns the endpoints, ordered by name.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Arc<str>, &EndpointSpec)> {
        self.of_kind(ResourceKind::Endpoint).filter_map(|(name, versioned)| {
            match &versioned.record.spec {
                ResourceSpec::Endpoint(spec) => Some((name, spec)),
                _ => None,
            }
        })
    }

    /// Returns the services, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = (&Arc<str>, &ServiceSpec)> {
        self.of_kind(ResourceKind::Service).filter_map(|(name, versioned)| {
            match &versioned.record.spec {
                ResourceSpec::Service(spec) => Some((name, spec)),
                _ => None,
            }
        })
    }

    /// Returns the settings of admission control, or the defaults if none are stored.
    pub fn admission(&self) -> AdmissionSpec {
        let mut records = self.of_kind(ResourceKind::Admission);
        match records.next().map(|(_, versioned)| &versioned.record.spec) {
            Some(ResourceSpec::Admission(spec)) => spec.clone(),
            _ => AdmissionSpec::default(),
        }
    }

    /// Returns the data centre with `name`, if there is one.
    pub fn data_centre(&self, name: &str) -> Option<&DataCentreSpec> {
        match self.spec(ResourceKind::DataCentre, name)? {
            ResourceSpec::DataCentre(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the service with `name`, if there is one.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        match self.spec(ResourceKind::Service, name)? {
            ResourceSpec::Service(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns whether an endpoint receives new requests: it and its data centre are in duty.
    ///
    /// A data centre that does not exist counts as in duty.
    pub fn is_in_duty(&self, endpoint: &EndpointSpec) -> bool {
        let data_centre = self.data_centre(&endpoint.data_centre);
        endpoint.duty == DutyState::In
            && data_centre.is_none_or(|data_centre| data_centre.duty == DutyState::In)
    }

    fn spec(&self, kind: ResourceKind, name: &str) -> Option<&ResourceSpec> {
        self.get(&ResourceKey::new(kind, name)).map(|versioned| &versioned.record.spec)
    }
}

//! Records of resources: the configured fields and their version.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::AccountSpec;
use super::AdmissionSpec;
use super::DataCentreSpec;
use super::DutyState;
use super::EndpointSpec;
use super::ResourceKind;
use super::ServiceSpec;
use crate::types::GenerationNumber;

/// Holds the fields that operators configure, by kind of resource.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(content = "spec", rename_all = "kebab-case", tag = "kind")]
pub enum ResourceSpec {
    /// A client account.
    Account(AccountSpec),
    /// Settings of admission control.
    Admission(AdmissionSpec),
    /// A data centre.
    DataCentre(DataCentreSpec),
    /// A process of an engine or of a plain service.
    Endpoint(EndpointSpec),
    /// A model or plain service.
    Service(ServiceSpec),
}

impl ResourceSpec {
    /// Returns the kind of the resource.
    pub fn kind(&self) -> ResourceKind {
        match self {
            Self::Account(_) => ResourceKind::Account,
            Self::Admission(_) => ResourceKind::Admission,
            Self::DataCentre(_) => ResourceKind::DataCentre,
            Self::Endpoint(_) => ResourceKind::Endpoint,
            Self::Service(_) => ResourceKind::Service,
        }
    }

    /// Returns whether the resource receives new requests; `None` for kinds that cannot be drained.
    pub fn duty(&self) -> Option<DutyState> {
        match self {
            Self::DataCentre(spec) => Some(spec.duty),
            Self::Endpoint(spec) => Some(spec.duty),
            Self::Account(_) | Self::Admission(_) | Self::Service(_) => None,
        }
    }
}

/// Holds one version of a resource, in the form in which it is stored and shown.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResourceRecord {
    /// Name of the resource, unique within its kind.
    pub name: Arc<str>,
    /// Version: the revision of the write that stored it; 0 if it is not stored yet.
    #[serde(default)]
    pub generation: GenerationNumber,
    /// Fields that operators configure.
    #[serde(flatten)]
    pub spec: ResourceSpec,
}

impl ResourceRecord {
    /// Creates a record that is not stored yet.
    pub fn new(name: impl Into<Arc<str>>, spec: ResourceSpec) -> Self {
        Self { name: name.into(), generation: 0, spec }
    }
}

//! Kinds of resources and their names.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Names one kind of resource.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// A client account.
    Account,
    /// Settings of admission control for the whole fleet.
    Admission,
    /// A data centre.
    DataCentre,
    /// One process of an engine or of a plain service.
    Endpoint,
    /// One model or plain service.
    Service,
}

impl ResourceKind {
    /// All kinds, in the order in which they are listed.
    pub const ALL: [Self; 5] =
        [Self::Account, Self::Admission, Self::DataCentre, Self::Endpoint, Self::Service];

    /// Returns the name of the kind in paths, keys and files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Account => "account",
            Self::Admission => "admission",
            Self::DataCentre => "data-centre",
            Self::Endpoint => "endpoint",
            Self::Service => "service",
        }
    }

    /// Returns the kind with `name`, if there is one.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

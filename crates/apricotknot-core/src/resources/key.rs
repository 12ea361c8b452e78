//! Keys that identify resources, written as `KIND/NAME`.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::ResourceKind;

/// Identifies one resource by its kind and name.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name of the resource, unique within its kind.
    pub name: Arc<str>,
}

impl ResourceKey {
    /// Creates a key; the name is not validated.
    pub fn new(kind: ResourceKind, name: impl Into<Arc<str>>) -> Self {
        Self { kind, name: name.into() }
    }
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

/// Reports a text that is not a valid resource key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{given:?} is not a resource key; write KIND/NAME, with KIND one of {kinds}", kinds = kind_list())]
pub struct ParseKeyError {
    /// Text that was parsed.
    pub given: String,
}

impl FromStr for ResourceKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        let parsed = text.split_once('/').and_then(|(kind, name)| {
            ResourceKind::from_name(kind).map(|kind| Self::new(kind, name))
        });
        parsed.ok_or_else(|| ParseKeyError { given: text.to_owned() })
    }
}

fn kind_list() -> String {
    ResourceKind::ALL.map(ResourceKind::name).join(", ")
}

//! Selection of log entries.

use super::LogEntry;

/// Selects the entries about one thing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LogSelector {
    /// Entries of the request with this id.
    Request(String),
    /// Entries that name this endpoint.
    Endpoint(String),
    /// Entries that name this data centre.
    DataCentre(String),
    /// Entries in which a configuration comes into force.
    Version(String),
}

impl LogSelector {
    /// Creates the selector for `value`, by the name of its kind.
    pub(crate) fn new(kind: &str, value: &str) -> Self {
        let value = value.to_owned();
        match kind {
            "endpoint" => Self::Endpoint(value),
            "data-centre" => Self::DataCentre(value),
            "version" => Self::Version(value),
            _ => Self::Request(value),
        }
    }

    /// Returns the name of what is searched for, and its value.
    pub(crate) fn described(&self) -> (&'static str, &str) {
        match self {
            Self::Request(value) => ("request", value),
            Self::Endpoint(value) => ("endpoint", value),
            Self::DataCentre(value) => ("data centre", value),
            Self::Version(value) => ("version", value),
        }
    }

    /// Returns whether a line may hold a selected entry; this is much faster than parsing it.
    pub(crate) fn may_match(&self, line: &str) -> bool {
        line.contains(self.described().1)
    }

    /// Returns whether an entry is selected.
    pub(crate) fn matches(&self, entry: &LogEntry) -> bool {
        let has = |name: &str, value: &str| entry.text(name).is_some_and(|text| text == value);
        match self {
            Self::Request(value) => has("request", value),
            Self::Endpoint(value) => has("endpoint", value) && !entry.message.starts_with("call:"),
            Self::DataCentre(value) => {
                has("data_centre", value) && !entry.message.ends_with("endpoint announced")
            },
            Self::Version(value) => {
                has("version", value) && entry.message.starts_with("control: configuration")
            },
        }
    }
}

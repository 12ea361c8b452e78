//! Faults of resources, described so that an operator can correct them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Groups the faults of resources.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceErrorKind {
    /// A name does not match the syntax of names.
    BadName,
    /// A value has the wrong type or format.
    BadValue,
    /// A value that must be unique is used twice.
    Duplicate,
    /// The resource cannot be deleted because others refer to it.
    InUse,
    /// A required field is missing.
    MissingField,
    /// A number or a count is outside its range.
    OutOfRange,
    /// The text is not valid JSON.
    Syntax,
    /// The field does not exist.
    UnknownField,
    /// The kind of resource does not exist.
    UnknownKind,
    /// The referenced resource does not exist.
    UnknownReference,
}

/// Reports one fault of one resource: its field, the given value, the allowed values and the next
/// step.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("{field}: given {given}; allowed: {allowed}; {next_step}")]
pub struct ResourceError {
    /// Group of the fault.
    pub kind: ResourceErrorKind,
    /// Path of the field, such as `spec.weight`.
    pub field: Arc<str>,
    /// Given value, truncated if it is long.
    pub given: Arc<str>,
    /// Allowed values.
    pub allowed: Arc<str>,
    /// What the operator can do next.
    pub next_step: Arc<str>,
}

/// Maximum length of the given value in an error, in characters; the rest is truncated.
const MAX_GIVEN_CHARS: usize = 80;

/// Minimum Jaro-Winkler similarity of a name that is suggested, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.7;

impl ResourceError {
    /// Creates an error of `kind` for the field at a path, with default texts for the rest.
    pub fn new(kind: ResourceErrorKind, field: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            field: field.into(),
            given: Arc::from("nothing"),
            allowed: Arc::from("see `apricotctl apply --help`"),
            next_step: Arc::from("correct the file and apply it again"),
        }
    }

    /// Sets the given value, and truncates it if it is long.
    pub fn given(mut self, given: impl ToString) -> Self {
        let given = given.to_string();
        let mut short: String = given.chars().take(MAX_GIVEN_CHARS).collect();
        if short.len() < given.len() {
            short.push_str("...");
        }
        self.given = short.into();
        self
    }

    /// Sets the allowed values.
    pub fn allowed(mut self, allowed: impl Into<Arc<str>>) -> Self {
        self.allowed = allowed.into();
        self
    }

    /// Sets what the operator can do next.
    pub fn next_step(mut self, next_step: impl Into<Arc<str>>) -> Self {
        self.next_step = next_step.into();
        self
    }

    /// Suggests the candidate that is most similar to `given` as the next step.
    ///
    /// Leaves the next step unchanged if no candidate is similar enough.
    pub fn suggest<'a>(self, given: &str, candidates: impl IntoIterator<Item = &'a str>) -> Self {
        match most_similar(given, candidates) {
            Some(most_similar) => self.next_step(format!("did you mean `{most_similar}`?")),
            None => self,
        }
    }
}

fn most_similar<'a>(given: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored =
        candidates.into_iter().map(|candidate| (strsim::jaro_winkler(given, candidate), candidate));
    let near = scored.filter(|(similarity, _)| *similarity >= MIN_SIMILARITY);
    near.max_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, candidate)| candidate)
}

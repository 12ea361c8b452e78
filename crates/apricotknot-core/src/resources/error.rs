//! Faults of resources, told so that an operator can mend them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Groups the faults of resources.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceErrorKind {
    /// A name does not follow the syntax of names.
    BadName,
    /// A value has the wrong type or form.
    BadValue,
    /// Two things that must differ are equal.
    Duplicate,
    /// Something that others refer to is being deleted.
    InUse,
    /// A required field is missing.
    MissingField,
    /// A number or a count is outside its range.
    OutOfRange,
    /// The text is not JSON.
    Syntax,
    /// A field that does not exist is given.
    UnknownField,
    /// A kind that does not exist is given.
    UnknownKind,
    /// A resource that does not exist is referred to.
    UnknownReference,
}

/// Reports one fault of one resource: where it is, what was given, what is allowed, what to do.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("{field}: given {given}; allowed: {allowed}; {next_step}")]
pub struct ResourceError {
    /// Group of the fault.
    pub kind: ResourceErrorKind,
    /// Path of the field, such as `spec.weight`.
    pub field: Arc<str>,
    /// What was given, shortened.
    pub given: Arc<str>,
    /// What is allowed.
    pub allowed: Arc<str>,
    /// What the operator can do about it.
    pub next_step: Arc<str>,
}

/// Longest part of a given value that an error repeats, in characters.
const MAX_GIVEN_CHARS: usize = 80;

/// Smallest similarity at which another name is suggested, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.7;

impl ResourceError {
    /// Creates an error of `kind` for the field at a path.
    pub fn new(kind: ResourceErrorKind, field: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            field: field.into(),
            given: Arc::from("nothing"),
            allowed: Arc::from("see `apricotctl apply --help`"),
            next_step: Arc::from("correct the file and apply it again"),
        }
    }

    /// Sets what was given.
    pub fn given(mut self, given: impl ToString) -> Self {
        let given = given.to_string();
        let mut short: String = given.chars().take(MAX_GIVEN_CHARS).collect();
        if short.len() < given.len() {
            short.push_str("...");
        }
        self.given = short.into();
        self
    }

    /// Sets what is allowed.
    pub fn allowed(mut self, allowed: impl Into<Arc<str>>) -> Self {
        self.allowed = allowed.into();
        self
    }

    /// Sets what the operator can do.
    pub fn next_step(mut self, next_step: impl Into<Arc<str>>) -> Self {
        self.next_step = next_step.into();
        self
    }

    /// Suggests the candidate that is most like what was given, if one is near.
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

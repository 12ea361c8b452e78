//! Errors of messages that are refused.

use thiserror::Error;

/// Classifies conversion errors for metrics.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ConvertErrorKind {
    /// The message does not follow the schema.
    Malformed,
    /// A list or a text is longer than its limit.
    Oversized,
}

/// Reports why a message from a peer was refused.
#[derive(Clone, Debug, Error)]
pub enum ConvertError {
    /// The message does not follow the schema.
    #[error("message refused: {0}; peers must run a compatible version")]
    Schema(#[from] capnp::Error),
    /// A value is not known to this version, or cannot be parsed.
    #[error("field {field} has the unknown value {given}; peers must run a compatible version")]
    UnknownValue {
        /// Name of the field.
        field: &'static str,
        /// Value that was received.
        given: String,
    },
    /// A list or a text is longer than its limit.
    #[error("field {field} has {given} items or bytes; at most {allowed} are allowed")]
    TooLong {
        /// Name of the field.
        field: &'static str,
        /// Length that was received, in items or bytes.
        given: usize,
        /// Maximum length, in items or bytes.
        allowed: usize,
    },
}

impl ConvertError {
    /// Returns the kind of the error, for metrics.
    pub fn kind(&self) -> ConvertErrorKind {
        match self {
            Self::Schema(_) | Self::UnknownValue { .. } => ConvertErrorKind::Malformed,
            Self::TooLong { .. } => ConvertErrorKind::Oversized,
        }
    }
}

impl From<capnp::NotInSchema> for ConvertError {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::UnknownValue { field: "enumeration", given: error.0.to_string() }
    }
}

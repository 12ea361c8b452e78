//! Output formats of the command line.

use serde::Serialize;

use crate::client::ClientError;

/// Names an output format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OutputFormat {
    /// JSON, for programs.
    Json,
    /// Text in columns, for people.
    Table,
}

/// Prints a value as indented JSON on standard output.
pub(crate) fn print_json<T: Serialize>(value: &T) -> Result<(), ClientError> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

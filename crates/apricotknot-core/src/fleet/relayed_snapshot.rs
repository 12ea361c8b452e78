//! Load snapshot of another node that a node passes on.

use serde::Deserialize;
use serde::Serialize;

/// Holds an encoded load snapshot that the sending node received from another node.
///
/// It stays encoded on the way, so a node passes on fields that it does not know.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedSnapshot {
    /// Time since the first receiver got it from the node that it describes, in milliseconds.
    pub age_ms: u32,
    /// Encoded snapshot, without a signature of its own.
    pub bytes: Vec<u8>,
}

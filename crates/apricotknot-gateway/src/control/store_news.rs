//! What records of the key-value service say.

use super::RegistryChange;
use crate::protocol::RecordChange;

/// Holds what records that were read or have changed say.
#[derive(Debug, Default)]
pub struct StoreNews {
    /// What the platform's records say.
    pub records: Vec<RecordChange>,
    /// What the system's own records say.
    pub registry: Vec<RegistryChange>,
}

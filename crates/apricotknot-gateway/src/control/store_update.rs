//! What records of the key-value service say.

use super::RegistryChange;
use crate::protocol::RecordChange;

/// Holds what records that were read or have changed say.
#[derive(Debug, Default)]
pub struct StoreUpdate {
    /// What the platform's records say.
    pub record_changes: Vec<RecordChange>,
    /// What the system's own records say.
    pub registry_changes: Vec<RegistryChange>,
}

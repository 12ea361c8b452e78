//! Records that were read from the key-value service.

use super::RegistryChange;
use crate::protocol::RecordChange;
use crate::store::EraNumber;

/// Holds the records that were read, or that have changed.
#[derive(Debug, Default)]
pub struct StoreUpdate {
    /// Changes of the platform's records.
    pub record_changes: Vec<RecordChange>,
    /// Changes of the gateway's own records.
    pub registry_changes: Vec<RegistryChange>,
    /// Era of the service.
    pub era: EraNumber,
    /// Whether the service has come back from an older copy since the update before.
    pub is_restored: bool,
}

//! How operators and endpoints write what they keep in the key-value service.

use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::routing::DesiredState;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use thiserror::Error;

/// Tells what a change of one key means.
#[derive(Clone, Debug)]
pub enum RecordChange {
    /// Operators want this configuration.
    Configuration(Box<DesiredState>),
    /// An endpoint announces itself.
    EndpointAnnounced(EndpointEntry),
    /// An endpoint has left.
    EndpointRemoved(EndpointId),
    /// Operators want no new work in a data centre.
    DataCentreEvacuated(DataCentreId),
    /// Operators allow work in a data centre again.
    DataCentreRestored(DataCentreId),
}

/// Reports why a record cannot be read.
#[derive(Debug, Error)]
#[error("cannot read the record {key}: {reason}")]
pub struct TranslationError {
    /// Key of the record.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Translates records of the platform into changes of the product's state.
pub trait RecordTranslator: 'static {
    /// Reads a record that was written; `None` where the key is none of the platform's.
    ///
    /// # Errors
    ///
    /// Returns why the record cannot be read.
    fn translate_put(
        &self,
        key: &str,
        value: &[u8],
        now: MonotonicTime,
    ) -> Result<Option<RecordChange>, TranslationError>;

    /// Reads the removal of a key; `None` where the key is none of the platform's.
    fn translate_delete(&self, key: &str) -> Option<RecordChange>;
}

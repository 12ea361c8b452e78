//! Interface to the records that operators and endpoints store in the key-value service.

use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::routing::DesiredState;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use thiserror::Error;

/// Change of one record of the platform.
#[derive(Clone, Debug)]
pub enum RecordChange {
    /// Operators have written this configuration.
    Configuration(Box<DesiredState>),
    /// A node keeps this configuration, which operators wrote earlier.
    KeptConfiguration(Box<DesiredState>),
    /// An endpoint has announced itself, or changed its announcement.
    EndpointAnnounced(EndpointEntry),
    /// The record of an endpoint was removed.
    EndpointRemoved(EndpointId),
    /// Operators allow no new requests in a data centre.
    DataCentreEvacuated(DataCentreId),
    /// Operators allow new requests in a data centre again.
    DataCentreRestored(DataCentreId),
}

/// Reports why a record cannot be read.
#[derive(Debug, Error)]
#[error("cannot read the record {key}: {reason}")]
pub struct TranslationError {
    /// Key of the record.
    pub key: String,
    /// What is wrong with the record.
    pub reason: String,
}

/// Translates records of the platform into changes of the gateway's state.
pub trait RecordTranslator: 'static {
    /// Translates a written record; returns `None` if the key is not one of the platform's.
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

    /// Translates the record of a configuration that a node keeps under a key of its own.
    ///
    /// # Errors
    ///
    /// Returns why the record cannot be read.
    fn translate_configuration(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<DesiredState, TranslationError>;

    /// Translates the removal of a key; returns `None` if the key is not one of the platform's.
    fn translate_delete(&self, key: &str) -> Option<RecordChange>;
}

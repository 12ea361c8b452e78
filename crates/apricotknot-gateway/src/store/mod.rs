//! Interface to the platform's key-value service.

mod entry;
mod error;
mod metadata_store;

pub use apricotknot_core::types::EraNumber;
pub use entry::ExpectedRevision;
pub use entry::KeyRange;
pub use entry::LeaseId;
pub use entry::StoreEntry;
pub use entry::StoreLease;
pub use entry::SwapOutcome;
pub use entry::SwapRequest;
pub use entry::WatchBatch;
pub use entry::WatchEvent;
pub use entry::WatchLimits;
pub use error::StoreError;
pub use error::StoreErrorKind;
pub use error::WriteCertainty;
pub use metadata_store::MetadataStore;

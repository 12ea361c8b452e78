//! Resources that operators configure: their fields, validation, and versioned replacement.
//!
//! A [`ResourceRecord`] is validated by itself and against the other resources of a
//! [`ResourceSnapshot`]. Each node applies updates to its [`ResourceTable`], in which a newer
//! revision of a resource replaces an older one.

mod account;
mod admission;
mod capacity;
mod data_centre;
mod endpoint;
mod error;
mod key;
mod kind;
mod parse;
mod record;
mod reference;
mod service;
mod snapshot;
mod table;
mod update;
mod validation;

pub use account::AccountSpec;
pub use admission::AdmissionSpec;
pub use capacity::CapacityOutlook;
pub use data_centre::DataCentreSpec;
pub use data_centre::DutyState;
pub use endpoint::EndpointSpec;
pub use error::ResourceError;
pub use error::ResourceErrorKind;
pub use key::ParseKeyError;
pub use key::ResourceKey;
pub use kind::ResourceKind;
pub use parse::unknown_kind_error;
pub use record::ResourceRecord;
pub use record::ResourceSpec;
pub use service::PlainServiceSpec;
pub use service::ServiceMode;
pub use service::ServiceObjective;
pub use service::ServiceSpec;
pub use snapshot::ResourceSnapshot;
pub use snapshot::VersionedRecord;
pub use table::GapError;
pub use table::ResourceChange;
pub use table::ResourceTable;
pub use update::ResourceUpdate;
pub use update::UpdateBatch;
pub use update::UpdateState;
pub use validation::ADMISSION_NAME;
pub use validation::MAX_NAME_CHARS;
pub use validation::has_path_prefix;
pub use validation::is_key_digest;
pub use validation::is_valid_name;
pub use validation::name_syntax;

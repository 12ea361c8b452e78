//! Stand-ins for the users' platform: its key-value service, its API for duties, and
//! endpoints that use its headers.

mod duty_api;
mod endpoint;
mod metadata;
mod metadata_state;

pub use duty_api::DutyApiServer;
pub use duty_api::DutyCallRecord;
pub use duty_api::DutyFault;
pub use endpoint::EndpointFault;
pub use endpoint::EndpointServer;
pub use endpoint::ExecutionRecord;
pub use metadata::MetadataCopy;
pub use metadata::MetadataServer;
pub use metadata::MetadataView;
pub use metadata::TextReplacements;

//! Stand-ins for the users' platform: its key-value service, and endpoints that use its headers.

mod endpoint;
mod metadata;
mod metadata_state;

pub use endpoint::EndpointFault;
pub use endpoint::EndpointServer;
pub use endpoint::ExecutionRecord;
pub use metadata::MetadataCopy;
pub use metadata::MetadataServer;
pub use metadata::MetadataView;
pub use metadata::TextReplacements;

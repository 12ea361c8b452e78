//! Stand-ins for the external systems that a node uses: model engine, plain service, key-value
//! service, list of VMs and the users' platform.
//!
//! Each stand-in runs on its own thread inside a test, and most also run as processes through the
//! examples of this package. They serve tests and measurements and are not part of a release.

mod http;

pub mod engine;
pub mod fleet;
pub mod key_value;
pub mod load;
pub mod plain;
pub mod users_platform;
pub mod vm_list;

pub use http::StandinError;
pub use http::StandinServer;

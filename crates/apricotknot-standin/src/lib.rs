//! Stand-ins for the outside systems that a node works with: model engine, plain service,
//! key-value service and list of VMs.
//!
//! Each stand-in runs embedded on a thread of its own, or as a process through the package's
//! examples. None of them is shipped.

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

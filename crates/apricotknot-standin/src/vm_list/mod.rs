//! Stand-in for the platform's list of VMs, which shows changes late.

mod server;

pub use server::VmListServer;

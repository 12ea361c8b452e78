//! Stand-in for the platform's key-value service: a subset of the etcd v3 JSON gateway.

mod fault;
mod server;
mod store;
mod transaction;
mod wire;

pub use server::KeyValueServer;

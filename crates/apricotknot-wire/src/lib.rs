//! Messages between nodes: code generated from the schema, typed messages and authenticated
//! connections.
//!
//! [`convert`] converts Cap'n Proto messages to typed messages and back, and refuses malformed
//! input. [`auth`] authenticates both ends of a connection by a shared key, and then protects the
//! integrity of every frame.

pub mod auth;
pub mod convert;
pub mod generated;
pub mod message;

//! The decision logic of the apricotknot serving layer, without clocks, sockets or threads.
//!
//! Each module is a plain state machine: it takes an input event and the current time, and returns
//! actions. The node, the fuzzers and the benchmarks all run the same code.
//!
//! [`types`] defines the identifiers and quantities that the other modules share.

pub mod admission;
pub mod duty;
pub mod fleet;
pub mod intake;
pub mod ledger;
pub mod membership;
pub mod objectives;
pub mod operators;
pub mod outcome;
pub mod prefix_cache;
pub mod quarantine;
pub mod resources;
pub mod routing;
pub mod scaling;
pub mod types;
pub mod usage;

//! Decisions of the apricotknot serving layer, free of clocks, sockets and threads.
//!
//! Every module here is a plain state machine: an input event and the current time go in, actions
//! come out. The same code runs in the node, under the fuzzers and in the benchmarks.
//!
//! Start with [`types`] for the shared vocabulary, then read the module of the decision at hand.

pub mod admission;
pub mod fleet;
pub mod ledger;
pub mod membership;
pub mod objectives;
pub mod operators;
pub mod outcome;
pub mod prefix_cache;
pub mod quarantine;
pub mod resources;
pub mod routing;
pub mod types;

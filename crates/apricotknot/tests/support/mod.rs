//! Test doubles of the key-value store, shared by the tests of the node.

pub(crate) mod fake_store;
pub(crate) mod flaky_watch;

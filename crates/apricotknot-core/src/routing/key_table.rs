//! Finds the client account of a key.

use std::collections::HashMap;
use std::sync::Arc;

use crate::types::AccountId;

/// Holds the keys of all client accounts.
#[derive(Clone, Default)]
pub struct KeyTable {
    accounts: HashMap<Arc<str>, AccountId>,
}

impl KeyTable {
    /// Creates the table of `keys`.
    pub fn new(keys: impl IntoIterator<Item = (Arc<str>, AccountId)>) -> Self {
        Self { accounts: keys.into_iter().collect() }
    }

    /// Returns the account that holds `key`.
    pub fn account(&self, key: &str) -> Option<&AccountId> {
        self.accounts.get(key)
    }

    /// Returns whether no account has a key, so that no request needs one.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

impl std::fmt::Debug for KeyTable {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "KeyTable({} keys)", self.accounts.len())
    }
}

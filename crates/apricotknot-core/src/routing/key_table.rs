//! Table of the API keys of client accounts.

use std::collections::HashMap;
use std::sync::Arc;

use crate::types::AccountId;

/// Maps API keys to client accounts.
///
/// Its debug output shows the number of keys and no key.
#[derive(Clone, Default)]
pub struct KeyTable {
    accounts: HashMap<Arc<str>, AccountId>,
}

impl KeyTable {
    /// Creates a table of `keys`; of two equal keys the later one applies.
    pub fn new(keys: impl IntoIterator<Item = (Arc<str>, AccountId)>) -> Self {
        Self { accounts: keys.into_iter().collect() }
    }

    /// Returns the account of `key`, or `None` if the key is unknown. Keys are case-sensitive.
    pub fn account(&self, key: &str) -> Option<&AccountId> {
        self.accounts.get(key)
    }
}

impl std::fmt::Debug for KeyTable {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "KeyTable({} keys)", self.accounts.len())
    }
}

//! Whether requests need an API key.

use super::KeyTable;
use crate::types::AccountId;

/// States whether requests need an API key, and which keys there are.
///
/// A configuration that knows no accounts and one whose accounts hold no key are two policies: the
/// first one needs no keys, under the second one no request can have a valid key. Public routes need
/// no key under either.
#[derive(Clone, Debug)]
pub enum KeyPolicy {
    /// The configuration knows no accounts; requests need no key.
    NotRequired,
    /// Requests need one of these keys; there may be none.
    Required(KeyTable),
}

impl Default for KeyPolicy {
    fn default() -> Self {
        Self::Required(KeyTable::default())
    }
}

impl KeyPolicy {
    /// Returns the account of `key`, or `None` if the key is unknown.
    pub fn account(&self, key: &str) -> Option<&AccountId> {
        match self {
            Self::NotRequired => None,
            Self::Required(keys) => keys.account(key),
        }
    }

    /// Returns whether requests need a key, except on public routes.
    pub fn is_required(&self) -> bool {
        matches!(self, Self::Required(_))
    }
}

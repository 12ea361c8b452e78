//! Whether requests need an API key.

use super::ConfigurationTrust;
use super::KeyFault;
use super::KeyTable;
use super::VerifiedAccount;
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

    /// Returns the account for which a request with `key` runs, or `None` if it runs for none.
    ///
    /// A request without a key on a route that needs none runs by a configuration of any age. A key
    /// is a statement about an account, also on a public route: once the configuration is too old to
    /// know its account, the request runs neither with an account that may have lost the key nor
    /// without one that may hold it.
    ///
    /// # Errors
    ///
    /// Returns [`KeyFault::Unknown`] if the request needs another key, and [`KeyFault::Outdated`] if
    /// a newer configuration may say otherwise.
    pub fn verify(
        &self,
        key: Option<&str>,
        is_public: bool,
        trust: ConfigurationTrust,
    ) -> Result<Option<VerifiedAccount>, KeyFault> {
        let needs_key = self.is_required() && !is_public;
        // The outer `None` is a request without a key, the inner one a key that no account holds.
        match key.map(|key| self.account(key)) {
            None if !needs_key => Ok(None),
            Some(Some(account)) if trust.may_admit => {
                Ok(Some(VerifiedAccount::new(account.clone())))
            },
            None | Some(None) if trust.may_admit && trust.may_deny => match needs_key {
                true => Err(KeyFault::Unknown),
                false => Ok(None),
            },
            _ => Err(KeyFault::Outdated),
        }
    }
}

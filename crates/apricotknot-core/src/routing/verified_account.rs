//! Accounts of requests, as far as the configuration at hand can vouch for them.

use std::ops::Deref;

use thiserror::Error;

use crate::types::AccountId;

/// States what the age of a configuration allows a node to conclude from it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigurationTrust {
    /// Whether a key that the configuration holds still counts as held.
    pub may_admit: bool,
    /// Whether a route or key that the configuration does not hold counts as absent.
    pub may_deny: bool,
}

/// An account that holds the key of a request, by a configuration that is recent enough to say so.
///
/// Only [`KeyPolicy::verify`](super::KeyPolicy::verify) creates one, so no endpoint is told an
/// account by an outdated configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VerifiedAccount(AccountId);

impl VerifiedAccount {
    pub(super) fn new(account: AccountId) -> Self {
        Self(account)
    }
}

impl Deref for VerifiedAccount {
    type Target = AccountId;

    fn deref(&self) -> &AccountId {
        &self.0
    }
}

/// Reports why a request is not run with the key that it carries or lacks.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum KeyFault {
    /// The request needs a key of an account and has none.
    #[error("no client account holds this key")]
    Unknown,
    /// The configuration is too old to say which account holds the key.
    #[error("the configuration is too old to say which client account holds this key")]
    Outdated,
}

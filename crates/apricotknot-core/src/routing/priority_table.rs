//! Ranks of requests, from the priorities of accounts and routes.

use std::collections::BTreeMap;

use super::RouteSpec;
use super::RouteTable;
use crate::types::AccountId;
use crate::types::PriorityRank;

/// Priorities of all requests that one configuration allows.
///
/// The priority of an account goes before that of the route. Only differences matter: the ranks of
/// a configuration that states the same priority for everything are all 0.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PriorityTable {
    /// Priorities of the accounts that state one; 0 is the highest.
    accounts: BTreeMap<AccountId, u32>,
    /// Priority whose rank is 0: the median of those that apply.
    usual: u32,
}

impl PriorityTable {
    /// Creates the table of `accounts` and their priorities, and of the routes.
    pub fn new(
        accounts: impl IntoIterator<Item = (AccountId, Option<u32>)>,
        routes: &RouteTable,
    ) -> Self {
        let accounts = accounts.into_iter();
        let accounts: BTreeMap<AccountId, u32> =
            accounts.filter_map(|(account, priority)| Some((account, priority?))).collect();
        let mut applied: Vec<u32> = match accounts.is_empty() {
            true => routes.iter().map(|route| route.priority).collect(),
            false => accounts.values().copied().collect(),
        };
        applied.sort_unstable();
        let usual = applied.get(applied.len() / 2).copied().unwrap_or_default();
        Self { accounts, usual }
    }

    /// Returns the rank of a request of `account` on `route`.
    pub fn rank(&self, route: &RouteSpec, account: Option<&AccountId>) -> PriorityRank {
        let stated = account.and_then(|account| self.accounts.get(account));
        let priority = i64::from(stated.copied().unwrap_or(route.priority));
        let limits = (i64::from(PriorityRank::MIN), i64::from(PriorityRank::MAX));
        let rank = (priority - i64::from(self.usual)).clamp(limits.0, limits.1);
        PriorityRank::try_from(rank).unwrap_or_default()
    }
}

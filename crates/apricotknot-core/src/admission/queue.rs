//! Fair queue of one length class, with a flow for each account.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::types::AccountId;
use crate::types::RequestId;
use crate::types::TokenCount;

/// Virtual time of start-time fair queueing: scaled tokens divided by a weight.
pub(super) type VirtualTime = u128;

/// Scale of tokens in virtual time; keeps the rounding error of a division by a weight small.
const TOKEN_SCALE: VirtualTime = 1_000;

/// Largest number of idle accounts that are removed in one step, to bound its cost.
const MAX_IDLE_EVICTIONS: usize = 2;

/// Number of a request in the order of arrival.
pub(super) type ArrivalNumber = u64;

/// Holds the waiting requests of one account and its start tag.
#[derive(Clone, Debug, Default)]
struct AccountFlow {
    start_tag: VirtualTime,
    waiting: BTreeMap<ArrivalNumber, RequestId>,
}

/// Queues the requests of one length class: first come, first served within an account, and
/// start-time fair queueing between accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    virtual_time: VirtualTime,
    flows: HashMap<AccountId, AccountFlow>,
    /// First request of each account with waiting requests, by the start tag of the account.
    active: BTreeMap<(VirtualTime, AccountId), RequestId>,
    idle: BTreeSet<(VirtualTime, AccountId)>,
    queued: usize,
}

impl FairQueue {
    /// Adds a request at the end of its account's queue.
    pub(super) fn push(&mut self, account: &AccountId, number: ArrivalNumber, request: RequestId) {
        let flow = self.flows.entry(account.clone()).or_default();
        if flow.waiting.is_empty() {
            self.idle.remove(&(flow.start_tag, account.clone()));
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.active.insert((flow.start_tag, account.clone()), request);
        }
        flow.waiting.insert(number, request);
        self.queued += 1;
    }

    /// Removes a request without charging its account.
    pub(super) fn remove(&mut self, account: &AccountId, number: ArrivalNumber) {
        self.remove_and_charge(account, number, 0);
    }

    /// Removes a granted request and charges its `tokens` to its account, divided by `weight`.
    pub(super) fn serve(
        &mut self,
        account: &AccountId,
        number: ArrivalNumber,
        tokens: TokenCount,
        weight: u32,
    ) {
        if let Some(flow) = self.flows.get(account) {
            self.virtual_time = self.virtual_time.max(flow.start_tag);
        }
        let charge = VirtualTime::from(tokens.max(1)) * TOKEN_SCALE / VirtualTime::from(weight);
        self.remove_and_charge(account, number, charge.max(1));
        self.evict_idle();
    }

    fn remove_and_charge(
        &mut self,
        account: &AccountId,
        number: ArrivalNumber,
        charge: VirtualTime,
    ) {
        let Some(flow) = self.flows.get_mut(account) else {
            return;
        };
        if flow.waiting.remove(&number).is_none() {
            return;
        }
        self.queued -= 1;
        self.active.remove(&(flow.start_tag, account.clone()));
        flow.start_tag += charge;
        let key = (flow.start_tag, account.clone());
        match flow.waiting.values().next() {
            Some(first) => {
                self.active.insert(key, *first);
            },
            None => {
                self.idle.insert(key);
            },
        }
    }

    fn evict_idle(&mut self) {
        for _ in 0..MAX_IDLE_EVICTIONS {
            let is_past =
                self.idle.first().is_some_and(|(start_tag, _)| *start_tag <= self.virtual_time);
            if !is_past {
                return;
            }
            if let Some((_, account)) = self.idle.pop_first() {
                self.flows.remove(&account);
            }
        }
    }
}

impl FairQueue {
    /// Returns the first requests of the `count` accounts with the smallest start tags.
    pub(super) fn heads(&self, count: usize) -> Vec<RequestId> {
        self.active.values().take(count).copied().collect()
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.queued
    }

    /// Returns the number of waiting requests of one account.
    pub(super) fn account_len(&self, account: &AccountId) -> usize {
        self.flows.get(account).map_or(0, |flow| flow.waiting.len())
    }

    /// Returns whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.queued == 0
    }
}

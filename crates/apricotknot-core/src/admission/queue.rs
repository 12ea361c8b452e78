//! Fair queue of one length class, by account.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::types::AccountId;
use crate::types::RequestId;
use crate::types::TokenCount;

/// Service that an account has had, in scaled tokens divided by its weight.
pub(super) type VirtualTime = u128;

/// Scales tokens so that division by a weight loses little.
const TOKEN_SCALE: VirtualTime = 1_000;

/// Idle accounts forgotten at most in one step.
const MAX_IDLE_EVICTIONS: usize = 2;

/// Orders requests of one account.
pub(super) type ArrivalNumber = u64;

#[derive(Clone, Debug, Default)]
struct AccountFlow {
    start_tag: VirtualTime,
    waiting: BTreeMap<ArrivalNumber, RequestId>,
}

/// Queues requests of one class: first come first served within an account, and start-time fair
/// queueing between accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    virtual_time: VirtualTime,
    flows: HashMap<AccountId, AccountFlow>,
    /// First request of each account that has one, by the service that the account has had.
    active: BTreeMap<(VirtualTime, AccountId), RequestId>,
    idle: BTreeSet<(VirtualTime, AccountId)>,
    queued: usize,
}

// Commands.
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

    /// Removes a request that was granted, and charges its account.
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

// Queries.
impl FairQueue {
    /// Returns the requests that are first in the queues of the `count` accounts served least.
    pub(super) fn heads(&self, count: usize) -> Vec<RequestId> {
        self.active.values().take(count).copied().collect()
    }

    /// Returns the number of requests that wait.
    pub(super) fn len(&self) -> usize {
        self.queued
    }

    /// Returns the number of requests of one account that wait.
    pub(super) fn account_len(&self, account: &AccountId) -> usize {
        self.flows.get(account).map_or(0, |flow| flow.waiting.len())
    }

    /// Returns whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.queued == 0
    }
}

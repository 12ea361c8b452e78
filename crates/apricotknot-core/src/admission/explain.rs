//! Keeps recent decisions, so that each can be asked why.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::PlacementReason;
use super::RefusalReason;
use crate::types::AccountId;
use crate::types::AttemptId;
use crate::types::EndpointId;
use crate::types::LengthClass;
use crate::types::MonotonicTime;
use crate::types::RequestId;
use crate::types::TokenCount;

/// Names what an endpoint had too little of.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ScarceResource {
    /// Room for another archive prompt.
    Archives,
    /// Requests at once.
    Concurrency,
    /// Key-value cache.
    Memory,
    /// A way to the endpoint: it refused the last connection.
    Reachability,
    /// Proof that the cold endpoint bears more.
    Warmth,
}

impl ScarceResource {
    /// Returns the name used in answers, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Archives => "archives",
            Self::Concurrency => "concurrency",
            Self::Memory => "memory",
            Self::Reachability => "reachability",
            Self::Warmth => "warmth",
        }
    }
}

/// Says how much one account held.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderUsage {
    /// Names the account.
    pub account: AccountId,
    /// Key-value cache held, in tokens.
    pub memory_tokens: TokenCount,
    /// Requests at once.
    pub concurrent: u32,
}

/// Says what was short when a request had to wait, at the endpoint that was nearest to taking it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShortageRecord {
    /// Names the endpoint.
    pub endpoint: EndpointId,
    /// What it had too little of.
    pub resource: ScarceResource,
    /// Key-value cache that the request needed, in tokens.
    pub needed_tokens: TokenCount,
    /// Key-value cache that was free, in tokens.
    pub free_tokens: TokenCount,
    /// Accounts that held most, largest first.
    pub holders: Vec<HolderUsage>,
    /// Account of the waiting request that the free part was kept for, if any.
    pub kept_for: Option<AccountId>,
}

/// Says how a decision came out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecisionOutcome {
    /// The request was granted.
    Granted {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Why this endpoint was chosen.
        reason: PlacementReason,
    },
    /// The request was refused and did not run.
    Refused(RefusalReason),
    /// The caller went away while the request was queued.
    Withdrawn,
}

/// Explains one decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecisionRecord {
    /// Identifies the request.
    pub request: RequestId,
    /// Account that the request is for.
    pub account: AccountId,
    /// Length class of the prompt.
    pub class: LengthClass,
    /// Key-value cache that the request may hold, in tokens.
    pub memory_tokens: TokenCount,
    /// Moment of the decision.
    pub decided_at: MonotonicTime,
    /// Time that the request waited in the queue.
    pub queued_for: Duration,
    /// How the decision came out.
    pub outcome: DecisionOutcome,
    /// What was short when it first had to wait.
    pub shortage: Option<ShortageRecord>,
}

/// Keeps the newest decisions, up to a fixed number.
#[derive(Clone, Debug, Default)]
pub(super) struct DecisionRing {
    capacity: usize,
    first: u64,
    records: VecDeque<DecisionRecord>,
    latest: HashMap<RequestId, u64>,
}

impl DecisionRing {
    /// Creates a ring that keeps `capacity` decisions.
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Adds a decision and forgets the oldest one when full.
    pub(super) fn push(&mut self, record: DecisionRecord) {
        if self.capacity == 0 {
            return;
        }
        while self.records.len() >= self.capacity {
            self.evict_oldest();
        }
        let number = self.first + self.records.len() as u64;
        self.latest.insert(record.request, number);
        self.records.push_back(record);
    }

    /// Returns the newest decision on a request.
    pub(super) fn find(&self, request: RequestId) -> Option<&DecisionRecord> {
        let number = self.latest.get(&request)?;
        self.records.get(usize::try_from(number - self.first).ok()?)
    }

    fn evict_oldest(&mut self) {
        let Some(record) = self.records.pop_front() else {
            return;
        };
        if self.latest.get(&record.request) == Some(&self.first) {
            self.latest.remove(&record.request);
        }
        self.first += 1;
    }
}

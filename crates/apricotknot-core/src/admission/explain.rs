//! Records of recent decisions, for explanations to operators.

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

/// Distinguishes the resources that an endpoint can have too little of.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ScarceResource {
    /// Concurrent archive prompts.
    Archives,
    /// Concurrent requests.
    Concurrency,
    /// Key-value cache.
    Memory,
    /// Connection to the endpoint: the last one was reset or could not be opened.
    Reachability,
    /// Proof that the cold endpoint handles more load.
    Warmth,
}

impl ScarceResource {
    /// Returns the name that is used in answers, metrics and logs.
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

/// Holds the usage of one account at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderUsage {
    /// Name of the account.
    pub account: AccountId,
    /// Granted key-value cache, in tokens.
    pub memory_tokens: TokenCount,
    /// Concurrent requests.
    pub concurrent: u32,
}

/// Describes the shortage that made a request wait, at the endpoint with the most free memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShortageRecord {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Resource that was scarce there.
    pub resource: ScarceResource,
    /// Key-value cache that the request needs, in tokens.
    pub needed_tokens: TokenCount,
    /// Key-value cache that was free, in tokens.
    pub free_tokens: TokenCount,
    /// Accounts that held the most of the resource, largest first.
    pub holders: Vec<HolderUsage>,
    /// Account of another waiting request that claims the free capacity, if any.
    pub kept_for: Option<AccountId>,
}

/// Distinguishes the outcomes of a decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecisionOutcome {
    /// The request was granted.
    Granted {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Why this endpoint was chosen.
        reason: PlacementReason,
    },
    /// The request was refused and did not run.
    Refused(RefusalReason),
    /// The caller disconnected, or the request was replaced, while it was queued.
    Withdrawn,
}

/// Records one decision on a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecisionRecord {
    /// Id of the request.
    pub request: RequestId,
    /// Account that the request is charged to.
    pub account: AccountId,
    /// Length class of the prompt.
    pub class: LengthClass,
    /// Key-value cache that the request may use, in tokens.
    pub memory_tokens: TokenCount,
    /// Time of the decision.
    pub decided_at: MonotonicTime,
    /// Time that the request waited in the queue.
    pub queued_for: Duration,
    /// Outcome of the decision.
    pub outcome: DecisionOutcome,
    /// Shortage that made the request wait, if it had to.
    pub shortage: Option<ShortageRecord>,
}

/// Holds the newest decisions, up to a fixed number.
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

    /// Adds a decision, and removes the oldest one if the ring is full.
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

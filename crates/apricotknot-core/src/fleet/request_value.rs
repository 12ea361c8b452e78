//! Value of requests to their callers, in the unit of one very short request of the usual rank.

use super::LoadKnowledge;
use super::WorkItem;
use crate::types::PriorityRank;
use crate::types::TokenCount;

/// Prompt tokens that add as much value as the request itself, where nodes know one another's choices.
///
/// A caller with a longer prompt waits for more work, which is lost if the answer is late.
const DIRECT_TOKENS_PER_VALUE: f64 = 12_000.0;

/// Prompt tokens that add as much value as the request itself, where digests tell them.
///
/// Short requests that other nodes place become known late, so a plan shows only a part of
/// what a long prompt costs them.
const DIGEST_TOKENS_PER_VALUE: f64 = 60_000.0;

/// Value below which a prompt is packed beside others.
const PACKED_VALUE: f64 = 3.0;

/// Factor of the value from each priority rank to the next, where digests tell choices.
///
/// A rank decides among requests that are nearly alike; it does not let a short prompt of one account
/// push out a long one of another.
const RANK_FACTOR: f64 = 0.7;

/// Largest rank, in both directions, that changes the value; no request is worth nothing.
const MAX_RANK: PriorityRank = 4;

/// Fraction of a request's value that remains when its answer is late.
pub(super) const LATE_VALUE_FRACTION: f64 = 0.25;

/// Values of requests in a fleet of one size.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestValues {
    tokens_per_value: f64,
    rank_factor: f64,
}

impl RequestValues {
    /// Creates the values where nodes learn of one another's work by `knowledge`.
    pub(super) fn new(knowledge: LoadKnowledge) -> Self {
        let (tokens_per_value, rank_factor) = match knowledge {
            LoadKnowledge::Direct => (DIRECT_TOKENS_PER_VALUE, 1.0),
            LoadKnowledge::Digests => (DIGEST_TOKENS_PER_VALUE, RANK_FACTOR),
        };
        Self { tokens_per_value, rank_factor }
    }

    /// Returns the value of answering a request with `prompt` tokens on time.
    pub(super) fn of(self, prompt: TokenCount, rank: PriorityRank) -> f64 {
        self.of_size(prompt) * self.rank_factor.powi(i32::from(rank.clamp(-MAX_RANK, MAX_RANK)))
    }

    /// Returns the value of answering the request of `work` on time.
    pub(super) fn of_work(self, work: &WorkItem) -> f64 {
        self.of(work.prompt, work.rank)
    }

    /// Returns whether a prompt is packed on engines beside others; a longer one prefers engines
    /// without streams.
    pub(super) fn is_packed(self, prompt: TokenCount) -> bool {
        self.of_size(prompt) < PACKED_VALUE
    }

    fn of_size(self, prompt: TokenCount) -> f64 {
        1.0 + prompt as f64 / self.tokens_per_value
    }
}

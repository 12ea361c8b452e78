//! Value of requests to their callers, in the unit of one very short request of the usual rank.

use super::MAX_DIRECT_NODES;
use super::WorkItem;
use crate::types::PriorityRank;
use crate::types::TokenCount;

/// Prompt tokens that add as much value as the request itself, in a fleet of at most
/// [`MAX_DIRECT_NODES`].
///
/// A caller with a longer prompt waits for more work, which is lost if the answer is late.
const DIRECT_TOKENS_PER_VALUE: f64 = 12_000.0;

/// Prompt tokens that add as much value as the request itself, in a larger fleet.
///
/// There, short requests that other nodes place become known late, so a plan shows only a part of
/// what a long prompt costs them.
const LARGE_FLEET_TOKENS_PER_VALUE: f64 = 60_000.0;

/// Value below which a prompt is packed beside others.
const PACKED_VALUE: f64 = 3.0;

/// Factor of the value from each priority rank to the next, in a fleet of more than
/// [`MAX_DIRECT_NODES`].
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
    /// Creates the values in a fleet of `node_count` nodes.
    pub(super) fn new(node_count: usize) -> Self {
        let (tokens_per_value, rank_factor) = match node_count {
            ..=MAX_DIRECT_NODES => (DIRECT_TOKENS_PER_VALUE, 1.0),
            _ => (LARGE_FLEET_TOKENS_PER_VALUE, RANK_FACTOR),
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

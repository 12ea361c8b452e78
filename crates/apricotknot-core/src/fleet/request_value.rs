//! Value of requests to their callers, in the unit of one very short request of the usual rank.

use super::WorkItem;
use crate::types::PriorityRank;
use crate::types::TokenCount;

/// Prompt tokens that add as much value as the request itself.
///
/// A caller with a longer prompt waits for more work, which is lost if the answer is late.
const TOKENS_PER_VALUE: f64 = 60_000.0;

/// Factor of the value from each priority rank to the next.
///
/// A rank decides among requests that are nearly alike; it does not let a short prompt of one account
/// push out a long one of another.
const RANK_FACTOR: f64 = 0.7;

/// Largest rank, in both directions, that changes the value; no request is worth nothing.
const MAX_RANK: PriorityRank = 4;

/// Fraction of a request's value that remains when its answer is late.
pub(super) const LATE_VALUE_FRACTION: f64 = 0.25;

/// Returns the value of answering a request with `prompt` tokens on time.
pub(super) fn request_value(prompt: TokenCount, rank: PriorityRank) -> f64 {
    let size_value = 1.0 + prompt as f64 / TOKENS_PER_VALUE;
    size_value * RANK_FACTOR.powi(i32::from(rank.clamp(-MAX_RANK, MAX_RANK)))
}

/// Returns the value of answering the request of `work` on time.
pub(super) fn work_value(work: &WorkItem) -> f64 {
    request_value(work.prompt, work.rank)
}

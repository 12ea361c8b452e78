//! Requests that cannot find an endpoint in time, as too many wait before them.
//!
//! Load: far more long prompts at once than the fleet reads before their deadlines. Each would wait
//! for seconds, hold a connection, and be refused in the end.

use std::time::Duration;

use super::FleetState;
use super::PlacementDecision;
use super::PlacementQuery;
use super::placement::LONG_PROMPT_TOKENS;
use super::placement::NO_ROOM_RETRY;
use super::placement::is_eligible;
use super::placement::wait_deadline;
use crate::types::MonotonicTime;
use crate::types::TokenCount;

/// Time by which the wait has to exceed twice the time that is left.
///
/// A request is tried before older ones at the end of its time, so those do not bound its wait if it
/// has little time.
const MIN_EXCESS: Duration = Duration::from_secs(2);

/// Longest retry delay that a caller is given, however many wait.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Refuses a request that arrives behind far more than its endpoints can read before it has to begin.
///
/// `tokens_ahead` is the length of the prompts that wait at this node for the same endpoints, are older
/// and no larger. The estimate is a lower bound: it counts neither the requests of other nodes, nor
/// what endpoints do beside reading these prompts. Short requests do not wait for others.
pub fn refuse_hopeless(
    fleet: &FleetState,
    query: &PlacementQuery,
    tokens_ahead: TokenCount,
    now: MonotonicTime,
) -> Option<PlacementDecision> {
    let engine = fleet.service(&query.service)?.engine.as_ref()?;
    if query.size.prompt < LONG_PROMPT_TOKENS || tokens_ahead == 0 || engine.prefill_rate <= 0.0 {
        return None;
    }
    let endpoints = fleet.endpoints().filter(|state| is_eligible(fleet, state, query)).count();
    if endpoints == 0 {
        return None;
    }
    let reading_ms = tokens_ahead as f64 / engine.prefill_rate / endpoints as f64;
    let least_wait = Duration::try_from_secs_f64(reading_ms / 1e3).unwrap_or(Duration::MAX);
    let left = wait_deadline(query, Some(engine)).saturating_sub(now);
    let is_hopeless = least_wait > left.saturating_mul(2).saturating_add(MIN_EXCESS);
    is_hopeless.then(|| PlacementDecision::Refuse {
        reason: "more prompts wait before it than are read in time",
        retry_after: (least_wait - left).clamp(NO_ROOM_RETRY, MAX_RETRY_DELAY),
    })
}

//! State of one endpoint, as one node knows it.

use std::sync::Arc;
use std::time::Duration;

use super::AttemptEnd;
use super::EndpointEntry;
use super::HealthRecord;
use super::RateChange;
use super::RateReport;
use super::RateTurn;
use super::StatedRate;
use super::StatementId;
use super::prefill_queue::PrefillQueue;
use crate::membership::hash_text;
use crate::types::MonotonicTime;

/// Time for which an endpoint that refused to reserve memory counts as full.
///
/// Its memory is taken by work of which this node does not know yet.
const MEMORY_BACKOFF: Duration = Duration::from_millis(600);

/// Registration of one endpoint, with what this node has observed of it.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// Data that the endpoint registered.
    pub entry: EndpointEntry,
    /// Health that this node has observed.
    pub health: HealthRecord,
    /// Hash of the node and the endpoint, from 0 to 1.
    ///
    /// It makes nodes rank otherwise equal endpoints in different orders; 0 ranks first.
    pub jitter: f64,
    /// Hash of the endpoint, from which nodes are counted in the division of its rate.
    pub(super) order_start: u64,
    /// Time at which this node last sent a request to the endpoint.
    last_sent: Option<MonotonicTime>,
    /// Time at which it last refused to reserve memory.
    memory_refused: Option<MonotonicTime>,
    /// Health before the first of the connections that failed lately; they may have failed because
    /// this node is cut off.
    health_before: Option<HealthRecord>,
    /// What the endpoint stated last of its request rate, if it ever stated a limit.
    pub(super) stated_rate: Option<StatedRate>,
    /// Prefills that all nodes sent to it.
    pub(super) prefills: PrefillQueue,
}

impl EndpointState {
    /// Creates the state of an endpoint of which nothing was observed yet.
    pub(super) fn new(entry: EndpointEntry, jitter_seed: u64) -> Self {
        let hash = hash_text(jitter_seed, &entry.id) >> 32;
        Self {
            health: HealthRecord::default(),
            jitter: hash as f64 / f64::from(u32::MAX),
            order_start: hash_text(0, &entry.id),
            last_sent: None,
            memory_refused: None,
            health_before: None,
            stated_rate: None,
            prefills: PrefillQueue::default(),
            entry,
        }
    }

    /// Records how an attempt of this node at the endpoint ended.
    pub(super) fn record_end(&mut self, end: AttemptEnd, now: MonotonicTime) {
        if end == AttemptEnd::Unreachable {
            self.health_before.get_or_insert_with(|| self.health.clone());
        }
        self.health.record_end(end, now);
    }

    /// Takes back what failed connections have said of the endpoint's health: the node is cut off.
    pub(super) fn forget_unreached(&mut self) {
        if let Some(health) = self.health_before.take() {
            self.health = health;
        }
    }

    /// Takes what failed connections have said of the endpoint's health as true.
    pub(super) fn confirm_unreached(&mut self) {
        self.health_before = None;
    }

    /// Records that this node sends a request to the endpoint.
    pub(super) fn record_sent(&mut self, now: MonotonicTime) {
        self.last_sent = Some(now);
    }

    /// Records that the endpoint did not reserve memory.
    pub(super) fn record_memory_refused(&mut self, now: MonotonicTime) {
        self.memory_refused = Some(now);
    }

    /// Sets what the endpoint states; returns the change of the limit, if there is one.
    pub(super) fn set_rate(
        &mut self,
        id: StatementId,
        per_second: Option<f64>,
        stated_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<RateChange> {
        let known = self.stated_rate.as_ref().filter(|known| known.per_second.is_some());
        let known_limit = known.and_then(|known| known.per_second);
        let limited_since = known.map_or(now, |known| known.limited_since);
        let mut rate =
            StatedRate { id, per_second, stated_at, limited_since, reported_until: stated_at };
        rate.renew_report(now);
        self.stated_rate = Some(rate);
        (known_limit != per_second).then(|| RateChange {
            endpoint: Arc::clone(&self.entry.id),
            per_second,
            is_unreadable: false,
            is_own: true,
        })
    }
}

impl EndpointState {
    /// Returns whether the endpoint counts as full because it refused to reserve memory.
    pub(super) fn is_memory_refused(&self, now: MonotonicTime) -> bool {
        self.memory_refused.is_some_and(|refused| now < refused + MEMORY_BACKOFF)
    }

    /// Returns the turn of this node if it sends at `interval`.
    pub(super) fn turn_after(&self, interval: Duration) -> RateTurn {
        let next = self.last_sent.map_or(MonotonicTime::ZERO, |last_sent| last_sent + interval);
        RateTurn::At { next, interval }
    }

    /// Returns what other nodes are told of the endpoint's request rate, if anything.
    pub(super) fn rate_report(&self, now: MonotonicTime) -> Option<RateReport> {
        let rate = self.stated_rate.as_ref().filter(|rate| rate.is_reported(now))?;
        let age = now.saturating_sub(rate.stated_at).as_millis();
        Some(RateReport {
            endpoint: Arc::clone(&self.entry.id),
            incarnation: self.entry.incarnation,
            id: rate.id,
            per_second: rate.per_second,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }
}

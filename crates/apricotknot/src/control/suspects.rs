//! Requests that are aboard endpoints, and those that crash them.

use std::collections::HashMap;
use std::time::Duration;

use apricotknot_core::quarantine::AttemptDecision;
use apricotknot_core::quarantine::FingerprintLimiter;
use apricotknot_core::quarantine::QuarantineRecord;
use apricotknot_core::quarantine::SuspectTable;
use apricotknot_core::quarantine::WallTime;
use apricotknot_core::quarantine::crash_digest;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::PromptFingerprint;

/// Most records that are stored after one change.
const MAX_UPDATES: usize = 256;

/// Keeps what the pools of this node know of requests that crash endpoints.
#[derive(Debug)]
pub(super) struct SuspectTracker {
    table: SuspectTable,
    limiter: FingerprintLimiter,
    in_flight: HashMap<AttemptId, PromptFingerprint>,
    /// Wall-clock time at the origin of the node's monotonic clock.
    wall_origin: WallTime,
}

impl SuspectTracker {
    /// Creates a desk that knows no suspect.
    pub(super) fn new(wall_origin: WallTime) -> Self {
        Self {
            table: SuspectTable::new(),
            limiter: FingerprintLimiter::new(),
            in_flight: HashMap::new(),
            wall_origin,
        }
    }

    // Commands

    /// Decides whether an attempt may be queued, and counts it as aboard where it may.
    pub(super) fn admit(
        &mut self,
        fingerprint: PromptFingerprint,
        attempt: AttemptId,
        now: MonotonicTime,
    ) -> AttemptDecision {
        if self.in_flight.contains_key(&attempt) {
            return AttemptDecision::Unrestricted;
        }
        let decision = self.limiter.decide(fingerprint, &self.table, self.wall(now));
        if matches!(decision, AttemptDecision::Unrestricted | AttemptDecision::Exclusive) {
            self.limiter.record_start(fingerprint, attempt);
            self.in_flight.insert(attempt, fingerprint);
        }
        decision
    }

    /// Takes in how an attempt ended.
    pub(super) fn record_end(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: MonotonicTime,
    ) {
        let Some(fingerprint) = self.in_flight.remove(&attempt) else {
            return;
        };
        if outcome == AttemptOutcome::Answered {
            let wall = self.wall(now);
            self.limiter.record_answer(fingerprint, attempt, &mut self.table, wall);
        } else {
            self.limiter.record_end(fingerprint, attempt);
        }
    }

    /// Takes in that an attempt will never be sent.
    pub(super) fn remove(&mut self, attempt: AttemptId) {
        if let Some(fingerprint) = self.in_flight.remove(&attempt) {
            self.limiter.record_end(fingerprint, attempt);
        }
    }

    /// Takes in that an attempt was aboard an endpoint that died.
    pub(super) fn record_crash(
        &mut self,
        attempt: AttemptId,
        endpoint: &EndpointId,
        boot: &str,
        now: MonotonicTime,
    ) {
        let Some(fingerprint) = self.in_flight.remove(&attempt) else {
            return;
        };
        let crash = crash_digest(endpoint, boot);
        let wall = self.wall(now);
        self.limiter.record_crash(fingerprint, attempt, crash, &mut self.table, wall);
    }

    /// Takes in records of the key-value service.
    pub(super) fn merge(&mut self, records: Vec<QuarantineRecord>, now: MonotonicTime) {
        let wall = self.wall(now);
        self.table.merge(records, wall);
        // What came from there need not be told there.
        self.table.take_updates(usize::MAX);
    }

    /// Takes the records that the key-value service has not been told.
    pub(super) fn take_updates(&mut self, now: MonotonicTime) -> Vec<QuarantineRecord> {
        let wall = self.wall(now);
        self.table.remove_expired(wall);
        self.table.take_updates(MAX_UPDATES)
    }

    fn wall(&self, now: MonotonicTime) -> Duration {
        self.wall_origin + now
    }
}

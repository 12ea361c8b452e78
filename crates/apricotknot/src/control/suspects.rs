//! Requests in flight at endpoints, and those suspected of crashing endpoints.

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

/// Maximum number of records stored in one write.
const MAX_UPDATES: usize = 256;

/// Tracks, for the pools of this node, which requests crash endpoints.
#[derive(Debug)]
pub(super) struct SuspectTracker {
    table: SuspectTable,
    limiter: FingerprintLimiter,
    in_flight: HashMap<AttemptId, PromptFingerprint>,
    /// Wall-clock time at the origin of the node's monotonic clock.
    wall_origin: WallTime,
}

impl SuspectTracker {
    /// Creates a tracker without suspects.
    pub(super) fn new(wall_origin: WallTime) -> Self {
        Self {
            table: SuspectTable::new(),
            limiter: FingerprintLimiter::new(),
            in_flight: HashMap::new(),
            wall_origin,
        }
    }

    /// Decides whether an attempt may be queued, and counts it as in flight if it may.
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

    /// Records how an attempt ended.
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

    /// Removes an attempt that holds nothing or will never be sent.
    pub(super) fn remove(&mut self, attempt: AttemptId) {
        if let Some(fingerprint) = self.in_flight.remove(&attempt) {
            self.limiter.record_end(fingerprint, attempt);
        }
    }

    /// Records that an attempt was in flight at an endpoint that crashed.
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

    /// Merges records that were read from the key-value service.
    pub(super) fn merge(&mut self, records: Vec<QuarantineRecord>, now: MonotonicTime) {
        let wall = self.wall(now);
        self.table.merge(records, wall);
        // Records that came from the key-value service need not be written back to it.
        self.table.take_updates(usize::MAX);
    }

    /// Removes and returns records that are not yet stored in the key-value service.
    pub(super) fn take_updates(&mut self, now: MonotonicTime) -> Vec<QuarantineRecord> {
        let wall = self.wall(now);
        self.table.remove_expired(wall);
        self.table.take_updates(MAX_UPDATES)
    }

    fn wall(&self, now: MonotonicTime) -> Duration {
        self.wall_origin + now
    }
}

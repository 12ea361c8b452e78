//! Limits the concurrent attempts of requests that were not yet answered.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::CrashDigest;
use super::QuarantineStatus;
use super::SuspectTable;
use super::WallTime;
use crate::types::AttemptId;
use crate::types::PromptFingerprint;

/// Maximum fingerprints that are kept as proven.
const MAX_PROVEN: usize = 65_536;

/// Decision on one more attempt of a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptDecision {
    /// The attempt may run on any endpoint.
    Unrestricted,
    /// The attempt may run only on an endpoint that runs nothing else.
    Exclusive,
    /// The attempt waits until another attempt with the same fingerprint has ended.
    Wait,
    /// The attempt is refused.
    Refuse,
}

/// Decides, at the owner of a pool, whether one more attempt with a fingerprint may start.
///
/// A fingerprint is proven once an attempt with it was answered. Until then, only one attempt with
/// it is in flight at a time. So a first crash makes it suspect, and a second crash, on an endpoint
/// that ran nothing else, quarantines it. If two copies of a crashing request ran concurrently, a
/// request that happened to run with both of them could not be distinguished from it.
#[derive(Clone, Debug, Default)]
pub struct FingerprintLimiter {
    in_flight: BTreeMap<PromptFingerprint, BTreeSet<AttemptId>>,
    proven: BTreeSet<PromptFingerprint>,
    proven_order: VecDeque<PromptFingerprint>,
}

/// Methods that record attempts.
impl FingerprintLimiter {
    /// Creates a limiter without attempts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the start of an attempt that this owner or a former owner of the pool granted.
    pub fn record_start(&mut self, fingerprint: PromptFingerprint, attempt: AttemptId) {
        self.in_flight.entry(fingerprint).or_default().insert(attempt);
    }

    /// Records that an attempt was answered in full, which proves its fingerprint.
    ///
    /// A suspect fingerprint is released in `suspects`.
    pub fn record_answer(
        &mut self,
        fingerprint: PromptFingerprint,
        attempt: AttemptId,
        suspects: &mut SuspectTable,
        now: WallTime,
    ) {
        self.record_end(fingerprint, attempt);
        if suspects.status(fingerprint, now) == QuarantineStatus::Suspect {
            suspects.release(fingerprint, now);
        }
        if self.proven.insert(fingerprint) {
            self.proven_order.push_back(fingerprint);
        }
        if self.proven_order.len() > MAX_PROVEN
            && let Some(oldest) = self.proven_order.pop_front()
        {
            self.proven.remove(&oldest);
        }
    }

    /// Records that an attempt was running at an endpoint that crashed; returns its new status.
    ///
    /// The crash does not count against a proven fingerprint.
    pub fn record_crash(
        &mut self,
        fingerprint: PromptFingerprint,
        attempt: AttemptId,
        crash: CrashDigest,
        suspects: &mut SuspectTable,
        now: WallTime,
    ) -> QuarantineStatus {
        self.record_end(fingerprint, attempt);
        if self.proven.contains(&fingerprint) {
            return suspects.status(fingerprint, now);
        }
        suspects.record_crash(fingerprint, crash, now)
    }

    /// Records that an attempt ended without an answer and without a crash of its endpoint.
    pub fn record_end(&mut self, fingerprint: PromptFingerprint, attempt: AttemptId) {
        let Some(attempts) = self.in_flight.get_mut(&fingerprint) else {
            return;
        };
        attempts.remove(&attempt);
        if attempts.is_empty() {
            self.in_flight.remove(&fingerprint);
        }
    }
}

/// Methods that only read the state.
impl FingerprintLimiter {
    /// Returns whether and how one more attempt with `fingerprint` may start at `now`.
    pub fn decide(
        &self,
        fingerprint: PromptFingerprint,
        suspects: &SuspectTable,
        now: WallTime,
    ) -> AttemptDecision {
        let in_flight = self.in_flight.get(&fingerprint).map_or(0, BTreeSet::len);
        match suspects.status(fingerprint, now) {
            QuarantineStatus::Quarantined => AttemptDecision::Refuse,
            QuarantineStatus::Clear if self.proven.contains(&fingerprint) => {
                AttemptDecision::Unrestricted
            },
            _ if in_flight > 0 => AttemptDecision::Wait,
            QuarantineStatus::Clear => AttemptDecision::Unrestricted,
            QuarantineStatus::Suspect => AttemptDecision::Exclusive,
        }
    }

    /// Returns the number of attempts with `fingerprint` that are in flight.
    pub fn in_flight(&self, fingerprint: PromptFingerprint) -> usize {
        self.in_flight.get(&fingerprint).map_or(0, BTreeSet::len)
    }
}

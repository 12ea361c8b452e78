//! Bounds the endpoints that an unproven request is aboard at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::CrashDigest;
use super::QuarantineStatus;
use super::SuspectTable;
use super::WallTime;
use crate::types::AttemptId;
use crate::types::PromptFingerprint;

/// Most fingerprints that are remembered as proven.
const MAX_PROVEN: usize = 65_536;

/// Says how a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptDecision {
    /// It may run anywhere.
    Unrestricted,
    /// It may run on an endpoint that runs nothing else.
    Exclusive,
    /// It waits until an attempt with the same fingerprint has ended.
    Wait,
    /// It is refused.
    Refuse,
}

/// Decides, at the owner of a pool, whether another attempt with a fingerprint may go aboard.
///
/// A fingerprint is proven once an attempt with it was answered. Until then one attempt with it is
/// aboard at a time, so that one death makes it a suspect, and a second one, alone, condemns it.
/// With two copies aboard at once, a request that was beside a crashing one on both endpoints
/// could not be told from it.
#[derive(Clone, Debug, Default)]
pub struct FingerprintLimiter {
    in_flight: BTreeMap<PromptFingerprint, BTreeSet<AttemptId>>,
    proven: BTreeSet<PromptFingerprint>,
    proven_order: VecDeque<PromptFingerprint>,
}

/// Commands.
impl FingerprintLimiter {
    /// Creates a gate that knows no attempt.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an attempt goes aboard: one granted here, or one that a former owner granted.
    pub fn record_start(&mut self, fingerprint: PromptFingerprint, attempt: AttemptId) {
        self.in_flight.entry(fingerprint).or_default().insert(attempt);
    }

    /// Records that an attempt was answered in full.
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

    /// Records that an attempt was aboard an endpoint that died; returns the new verdict.
    ///
    /// A proven fingerprint is not blamed.
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

    /// Records that an attempt ended without an answer, and its endpoint lives.
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

/// Queries.
impl FingerprintLimiter {
    /// Returns whether and how another attempt with `fingerprint` may go aboard now.
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

    /// Returns how many attempts with `fingerprint` are aboard.
    pub fn in_flight(&self, fingerprint: PromptFingerprint) -> usize {
        self.in_flight.get(&fingerprint).map_or(0, BTreeSet::len)
    }
}

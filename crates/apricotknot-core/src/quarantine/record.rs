//! Record of the crashes of one fingerprint.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::types::EndpointId;
use crate::types::PromptFingerprint;

/// Time since the Unix epoch, according to the node's clock.
pub type WallTime = Duration;

/// Digest of an endpoint and the run of its process that crashed; equal for all reports of one
/// crash.
pub type CrashDigest = u64;

/// Number of crashes after which a request is quarantined.
pub(super) const CRASHES_TO_QUARANTINE: usize = 2;

/// Quarantine status of a fingerprint.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum QuarantineStatus {
    /// No crash is recorded; its requests are not restricted.
    Clear,
    /// It was running when an endpoint crashed; it is retried on an endpoint that runs nothing
    /// else.
    Suspect,
    /// It was running when two endpoints crashed; its requests are refused.
    Quarantined,
}

/// Holds the crashes of endpoints that ran a fingerprint.
///
/// A release begins a new round, and a record of a higher round supersedes one of a lower round.
/// Within a round, merging takes the union of the crashes, so the order of merging does not matter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    /// Fingerprint of the request.
    pub fingerprint: PromptFingerprint,
    /// Number of releases so far.
    pub round: u64,
    /// Crashes in this round; at most two are kept, which suffice for a quarantine.
    pub deaths: BTreeSet<CrashDigest>,
    /// Time after which the record is dropped, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

impl QuarantineRecord {
    /// Returns the status that follows from the number of crashes; ignores the expiry.
    pub fn status(&self) -> QuarantineStatus {
        match self.deaths.len() {
            0 => QuarantineStatus::Clear,
            crashes if crashes < CRASHES_TO_QUARANTINE => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined,
        }
    }

    /// Returns whether the record has expired at `now`.
    pub fn is_expired(&self, now: WallTime) -> bool {
        now.as_millis() > u128::from(self.expires_ms)
    }

    /// Merges `other` into this record; returns whether the crashes or the round changed.
    pub(super) fn join(&mut self, other: &Self) -> bool {
        if other.round < self.round {
            return false;
        }
        if other.round > self.round {
            *self = other.clone();
            return true;
        }
        let before = self.deaths.clone();
        self.deaths.extend(&other.deaths);
        while self.deaths.len() > CRASHES_TO_QUARANTINE {
            self.deaths.pop_last();
        }
        self.expires_ms = self.expires_ms.max(other.expires_ms);
        self.deaths != before
    }
}

/// Returns the digest of the crash of `endpoint` in the run `boot` of its process.
pub fn crash_digest(endpoint: &EndpointId, boot: &str) -> CrashDigest {
    // The upper half of the digest is sufficient to distinguish crashes.
    (crate::ledger::content_digest(&[endpoint.as_bytes(), boot.as_bytes()]) >> 64) as CrashDigest
}

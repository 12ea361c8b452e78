//! What is known of one fingerprint.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::types::EndpointId;
use crate::types::PromptFingerprint;

/// Time since the Unix epoch, as the node's clock tells it.
pub type WallTime = Duration;

/// Digest of an endpoint and the run of it that died; equal reports of one death look the same.
pub type CrashDigest = u64;

/// Deaths after which a request is refused for good.
pub(super) const CRASHES_TO_QUARANTINE: usize = 2;

/// Says how a request with some fingerprint is to be treated.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum QuarantineStatus {
    /// Nothing is held against it.
    Clear,
    /// It was aboard when an endpoint died: it is tried again alone.
    Suspect,
    /// It was aboard when two endpoints died: it is refused.
    Quarantined,
}

/// Records the deaths that a fingerprint was aboard of.
///
/// A record of a higher round supersedes one of a lower round; a release begins a new round.
/// Within a round deaths are joined, so the order in which records are merged does not matter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    /// Fingerprint of the request.
    pub fingerprint: PromptFingerprint,
    /// Counts releases.
    pub round: u64,
    /// Deaths in this round; no more than are needed for the verdict.
    pub deaths: BTreeSet<CrashDigest>,
    /// Moment after which the record is dropped, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

impl QuarantineRecord {
    /// Returns the verdict.
    pub fn status(&self) -> QuarantineStatus {
        match self.deaths.len() {
            0 => QuarantineStatus::Clear,
            deaths if deaths < CRASHES_TO_QUARANTINE => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined,
        }
    }

    /// Returns whether the record is to be dropped.
    pub fn is_expired(&self, now: WallTime) -> bool {
        now.as_millis() > u128::from(self.expires_ms)
    }

    /// Joins `other` into this record; returns whether deaths or round changed.
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

/// Returns the digest of the death of `endpoint` in the run `boot`.
pub fn crash_digest(endpoint: &EndpointId, boot: &str) -> CrashDigest {
    // The upper half of the digest is as good as the whole for telling deaths apart.
    (crate::ledger::content_digest(&[endpoint.as_bytes(), boot.as_bytes()]) >> 64) as CrashDigest
}

//! Table of the fingerprints that are suspect or quarantined.

use std::collections::BTreeMap;
use std::time::Duration;

use super::CrashDigest;
use super::QuarantineRecord;
use super::QuarantineStatus;
use super::WallTime;
use crate::types::PromptFingerprint;

/// Maximum records that a node keeps.
const MAX_RECORDS: usize = 4_096;

/// Records that are evicted beyond the surplus, so that a full table is not sorted at each crash.
const EVICTION_MARGIN: usize = 256;

/// Time for which a fingerprint remains suspect after its first crash.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(10 * 60);

/// Time for which a fingerprint remains quarantined after its second crash.
///
/// The record of a release is kept equally long, so that it supersedes the quarantine on all nodes.
const QUARANTINE_LIFETIME: Duration = Duration::from_secs(24 * 60 * 60);

/// Holds the records of fingerprints that crashed endpoints.
///
/// It also tracks which records changed since they were last taken for other nodes or the store.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    records: BTreeMap<PromptFingerprint, QuarantineRecord>,
    /// Fingerprints whose records changed and were not yet taken.
    pending: BTreeMap<PromptFingerprint, ()>,
}

/// Methods that change the table.
impl SuspectTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was running at an endpoint that crashed; returns its new status.
    pub fn record_crash(
        &mut self,
        fingerprint: PromptFingerprint,
        crash: CrashDigest,
        now: WallTime,
    ) -> QuarantineStatus {
        let round = self.round_of(fingerprint);
        let mut record = Self::new_record(fingerprint, round, now + SUSPECT_LIFETIME);
        record.deaths.insert(crash);
        if let Some(known) = self.records.get(&fingerprint) {
            record.join(known);
        }
        if record.status() == QuarantineStatus::Quarantined {
            record.expires_ms = millis(now + QUARANTINE_LIFETIME);
        }
        self.merge([record], now);
        self.status(fingerprint, now)
    }

    /// Clears a fingerprint that an operator released, or that ran exclusively and was answered.
    ///
    /// Does nothing if the fingerprint has no record.
    pub fn release(&mut self, fingerprint: PromptFingerprint, now: WallTime) {
        if !self.records.contains_key(&fingerprint) {
            return;
        }
        let round = self.round_of(fingerprint) + 1;
        let record = Self::new_record(fingerprint, round, now + QUARANTINE_LIFETIME);
        self.merge([record], now);
    }

    /// Merges records of another node or of the store; returns how many records changed.
    ///
    /// Expired records are ignored.
    pub fn merge(
        &mut self,
        records: impl IntoIterator<Item = QuarantineRecord>,
        now: WallTime,
    ) -> usize {
        let mut changes = 0;
        for record in records {
            if record.is_expired(now) {
                continue;
            }
            let fingerprint = record.fingerprint;
            let has_changed = match self.records.get_mut(&fingerprint) {
                Some(known) => known.join(&record),
                None => {
                    self.records.insert(fingerprint, record);
                    true
                },
            };
            if has_changed {
                self.pending.insert(fingerprint, ());
                changes += 1;
            }
        }
        self.evict_surplus();
        changes
    }

    /// Removes the records that have expired at `now`.
    pub fn remove_expired(&mut self, now: WallTime) {
        self.records.retain(|_, record| !record.is_expired(now));
        self.prune_pending();
    }

    /// Takes at most `limit` records that changed and were not yet taken.
    pub fn take_updates(&mut self, limit: usize) -> Vec<QuarantineRecord> {
        let mut updates = Vec::new();
        while updates.len() < limit {
            let Some((fingerprint, ())) = self.pending.pop_first() else {
                break;
            };
            updates.extend(self.records.get(&fingerprint).cloned());
        }
        updates
    }

    /// Evicts records if the table is over its limit: those with the mildest status first, and of
    /// these the first to expire.
    fn evict_surplus(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let mut ranked: Vec<_> = self
            .records
            .values()
            .map(|record| (record.status(), record.expires_ms, record.fingerprint))
            .collect();
        ranked.sort_unstable();
        let surplus = self.records.len() - MAX_RECORDS + EVICTION_MARGIN;
        for (_, _, fingerprint) in ranked.into_iter().take(surplus) {
            self.records.remove(&fingerprint);
        }
        self.prune_pending();
    }

    /// Drops pending changes of records that no longer exist.
    fn prune_pending(&mut self) {
        let records = &self.records;
        self.pending.retain(|fingerprint, ()| records.contains_key(fingerprint));
    }
}

/// Methods that only read the table.
impl SuspectTable {
    /// Returns the status of a fingerprint; clear if it has no record or the record has expired.
    pub fn status(&self, fingerprint: PromptFingerprint, now: WallTime) -> QuarantineStatus {
        self.records
            .get(&fingerprint)
            .filter(|record| !record.is_expired(now))
            .map_or(QuarantineStatus::Clear, QuarantineRecord::status)
    }

    /// Returns all records, for operators, for the store and for a node that starts.
    ///
    /// Expired records that are not yet removed are included.
    pub fn records(&self) -> impl Iterator<Item = &QuarantineRecord> {
        self.records.values()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn round_of(&self, fingerprint: PromptFingerprint) -> u64 {
        self.records.get(&fingerprint).map_or(0, |record| record.round)
    }

    fn new_record(
        fingerprint: PromptFingerprint,
        round: u64,
        expires: WallTime,
    ) -> QuarantineRecord {
        let expires_ms = millis(expires);
        QuarantineRecord { fingerprint, round, deaths: Default::default(), expires_ms }
    }
}

fn millis(time: WallTime) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

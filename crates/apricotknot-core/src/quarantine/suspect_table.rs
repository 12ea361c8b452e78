//! The suspects that a node knows.

use std::collections::BTreeMap;
use std::time::Duration;

use super::CrashDigest;
use super::QuarantineRecord;
use super::QuarantineStatus;
use super::WallTime;
use crate::types::PromptFingerprint;

/// Most records that a node keeps.
const MAX_RECORDS: usize = 4_096;

/// Records that are dropped beyond the surplus, so that a full book is not ranked at each death.
const EVICTION_MARGIN: usize = 256;

/// Time for which a fingerprint is a suspect after the death.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(10 * 60);

/// Time for which a fingerprint is refused after the second death, or known as released.
const QUARANTINE_LIFETIME: Duration = Duration::from_secs(24 * 60 * 60);

/// Holds the suspects that a node knows, and what it has not yet told others.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    records: BTreeMap<PromptFingerprint, QuarantineRecord>,
    pending: BTreeMap<PromptFingerprint, ()>,
}

/// Commands.
impl SuspectTable {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was aboard an endpoint that died; returns the new verdict.
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

    /// Clears a fingerprint: an operator released it, or it ran alone and was answered.
    pub fn release(&mut self, fingerprint: PromptFingerprint, now: WallTime) {
        if !self.records.contains_key(&fingerprint) {
            return;
        }
        let round = self.round_of(fingerprint) + 1;
        let record = Self::new_record(fingerprint, round, now + QUARANTINE_LIFETIME);
        self.merge([record], now);
    }

    /// Takes in records of another node or of the store; returns how many changed anything.
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

    /// Drops expired records.
    pub fn remove_expired(&mut self, now: WallTime) {
        self.records.retain(|_, record| !record.is_expired(now));
        self.prune_pending();
    }

    /// Takes at most `limit` records that others have not been told.
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

    /// Drops the least serious records, and of these the first to expire, once the book is full.
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

    fn prune_pending(&mut self) {
        let records = &self.records;
        self.pending.retain(|fingerprint, ()| records.contains_key(fingerprint));
    }
}

/// Queries.
impl SuspectTable {
    /// Returns how a request with `fingerprint` is to be treated.
    pub fn status(&self, fingerprint: PromptFingerprint, now: WallTime) -> QuarantineStatus {
        self.records
            .get(&fingerprint)
            .filter(|record| !record.is_expired(now))
            .map_or(QuarantineStatus::Clear, QuarantineRecord::status)
    }

    /// Returns all records, for operators, for the store and for a node that starts.
    pub fn records(&self) -> impl Iterator<Item = &QuarantineRecord> {
        self.records.values()
    }

    /// Returns how many records there are.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
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

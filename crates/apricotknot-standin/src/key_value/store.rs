//! Contents of the store: keys with revisions, leases and the history of changes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::Bound;
use std::time::Duration;
use std::time::Instant;

use apricotknot_core::types::RevisionNumber;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Minimum time to live of a lease.
const MIN_LEASE: Duration = Duration::from_secs(1);

/// A key or value.
pub(super) type StoreBytes = Vec<u8>;

/// Identifies a lease.
pub(super) type LeaseId = u64;

/// Says why a write was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PutError {
    /// The value is larger than [`MAX_VALUE_BYTES`].
    TooLarge,
    /// The lease does not exist.
    LeaseNotFound,
}

/// Holds one key's value with its revisions.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredValue {
    pub(super) value: StoreBytes,
    pub(super) create_revision: RevisionNumber,
    pub(super) mod_revision: RevisionNumber,
    pub(super) version: u64,
    pub(super) lease: LeaseId,
}

/// Selects the keys from `key` inclusive to `end` exclusive.
///
/// An empty `end` selects `key` alone, and a single zero byte selects all keys from `key` on.
#[derive(Clone, Debug)]
pub(super) struct KeyRange {
    pub(super) key: StoreBytes,
    pub(super) end: StoreBytes,
}

impl KeyRange {
    /// Returns whether `key` is in the range.
    pub(super) fn contains(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.key;
        }
        key >= self.key.as_slice() && (self.end == [0] || key < self.end.as_slice())
    }
}

/// Holds one change; `value` is `None` if the key was deleted.
#[derive(Clone, Debug)]
pub(super) struct StoreChange {
    pub(super) revision: RevisionNumber,
    pub(super) key: StoreBytes,
    pub(super) value: Option<StoredValue>,
}

/// Holds a lease's time to live and the time at which it expires.
struct LeaseEntry {
    ttl: Duration,
    expires_at: Instant,
}

/// Holds all keys, leases and changes; the history is never compacted.
#[derive(Default)]
pub(super) struct KeyStore {
    revision: RevisionNumber,
    keys: BTreeMap<StoreBytes, StoredValue>,
    leases: HashMap<LeaseId, LeaseEntry>,
    last_lease: LeaseId,
    history: Vec<StoreChange>,
}

impl KeyStore {
    /// Increments the revision and returns it; the writes of one transaction share it.
    pub(super) fn next_revision(&mut self) -> RevisionNumber {
        self.revision += 1;
        self.revision
    }

    /// Returns the error with which a write would be refused.
    pub(super) fn check_put(&self, value: &[u8], lease: LeaseId) -> Result<(), PutError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PutError::TooLarge);
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(PutError::LeaseNotFound);
        }
        Ok(())
    }

    /// Writes a value at `revision`.
    pub(super) fn put(
        &mut self,
        key: StoreBytes,
        value: StoreBytes,
        lease: LeaseId,
        revision: RevisionNumber,
    ) {
        let stored = self
            .keys
            .entry(key.clone())
            .or_insert_with(|| StoredValue { create_revision: revision, ..StoredValue::default() });
        stored.value = value;
        stored.lease = lease;
        stored.mod_revision = revision;
        stored.version += 1;
        let value = Some(stored.clone());
        self.history.push(StoreChange { revision, key, value });
    }

    /// Deletes the keys of a range at `revision`; returns the number of deleted keys.
    pub(super) fn delete(&mut self, range: &KeyRange, revision: RevisionNumber) -> usize {
        let keys: Vec<StoreBytes> =
            self.select(range).into_iter().map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.keys.remove(key);
            self.history.push(StoreChange { revision, key: key.clone(), value: None });
        }
        keys.len()
    }

    /// Grants a lease; returns its id and time to live.
    pub(super) fn grant_lease(
        &mut self,
        id: LeaseId,
        ttl: Duration,
        now: Instant,
    ) -> (LeaseId, Duration) {
        self.last_lease += 1;
        let id = if id == 0 { self.last_lease + 1_000_000 } else { id };
        let ttl = ttl.max(MIN_LEASE);
        self.leases.insert(id, LeaseEntry { ttl, expires_at: now + ttl });
        (id, ttl)
    }

    /// Renews a lease; returns its time to live, or `None` if it does not exist.
    pub(super) fn renew_lease(&mut self, id: LeaseId, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Revokes a lease and deletes its keys at one revision; returns whether it existed.
    pub(super) fn revoke_lease(&mut self, id: LeaseId) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<StoreBytes> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            let revision = self.next_revision();
            for key in keys {
                self.delete(&KeyRange { key, end: Vec::new() }, revision);
            }
        }
        true
    }

    /// Revokes the leases that have expired at `now`; returns whether there were any.
    pub(super) fn expire_leases(&mut self, now: Instant) -> bool {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.revoke_lease(*id);
        }
        !expired.is_empty()
    }

    pub(super) fn revision(&self) -> RevisionNumber {
        self.revision
    }

    pub(super) fn get(&self, key: &[u8]) -> Option<&StoredValue> {
        self.keys.get(key)
    }

    /// Returns the keys of a range in ascending order.
    pub(super) fn select(&self, range: &KeyRange) -> Vec<(&StoreBytes, &StoredValue)> {
        if range.end.is_empty() {
            return self.keys.get_key_value(&range.key).into_iter().collect();
        }
        let end = match range.end.as_slice() {
            [0] => Bound::Unbounded,
            _ if range.end <= range.key => return Vec::new(),
            _ => Bound::Excluded(range.end.clone()),
        };
        self.keys.range((Bound::Included(range.key.clone()), end)).collect()
    }

    /// Returns the changes of a range after the first `position` changes of the history, with a
    /// revision of at least `start`, and the position from which to continue.
    pub(super) fn changes(
        &self,
        position: usize,
        start: RevisionNumber,
        range: &KeyRange,
    ) -> (Vec<StoreChange>, usize) {
        let unread_changes = self.history.get(position..).unwrap_or_default();
        let changes = unread_changes
            .iter()
            .filter(|change| change.revision >= start && range.contains(&change.key))
            .cloned()
            .collect();
        (changes, self.history.len())
    }
}

//! Keys, revisions and leases of the platform's stand-in key-value service.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Value of a key with the lease that it is bound to; lease 0 is none.
pub(super) type LeasedValue = (Vec<u8>, i64);

/// Holds the value of one key with its revisions.
#[derive(Clone, Debug)]
pub(super) struct StoredItem {
    pub(super) value: Vec<u8>,
    pub(super) revision: u64,
    pub(super) created: u64,
    pub(super) lease: i64,
}

/// Holds one change; `item` is `None` if the key was removed.
#[derive(Clone, Debug)]
pub(super) struct StoredChange {
    pub(super) key: String,
    pub(super) revision: u64,
    pub(super) item: Option<StoredItem>,
}

/// Holds the contents of the service.
#[derive(Clone, Debug)]
pub(super) struct MetadataState {
    pub(super) items: BTreeMap<String, StoredItem>,
    pub(super) history: Vec<StoredChange>,
    /// Changes up to this revision have been removed from the history.
    pub(super) compacted_revision: u64,
    pub(super) revision: u64,
    /// Number of times that the service has come back from a copy, plus 1.
    pub(super) era: u64,
    leases: BTreeMap<i64, (Duration, Instant)>,
    next_lease: i64,
}

impl Default for MetadataState {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            history: Vec::new(),
            compacted_revision: 0,
            revision: 1,
            era: 1,
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }
}

impl MetadataState {
    /// Writes or removes keys at one new revision; returns the revision.
    pub(super) fn apply_changes(&mut self, changes: Vec<(String, Option<LeasedValue>)>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        for (key, value) in changes {
            let created = self.items.get(&key).map_or(revision, |item| item.created);
            let item = value.map(|(value, lease)| StoredItem { value, revision, created, lease });
            match &item {
                Some(item) => _ = self.items.insert(key.clone(), item.clone()),
                None => _ = self.items.remove(&key),
            }
            self.history.push(StoredChange { key, revision, item });
        }
        revision
    }

    /// Removes all past changes from the history.
    pub(super) fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    /// Replaces the contents by those of an older copy; what was written since is lost.
    pub(super) fn restore(&mut self, copy: Self) {
        *self = Self { era: self.era + 1, ..copy };
    }

    /// Removes the keys that start with `prefix`, and all leases, as if they had never been.
    pub(super) fn forget(&mut self, prefix: &str) {
        self.items.retain(|key, _| !key.starts_with(prefix));
        self.leases.clear();
    }

    /// Grants a lease and returns its id.
    pub(super) fn grant_lease(&mut self, ttl: Duration) -> i64 {
        let lease = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(lease, (ttl, Instant::now() + ttl));
        lease
    }

    /// Returns the number of leases that were granted.
    pub(super) fn granted_leases(&self) -> i64 {
        self.next_lease - 1
    }

    /// Renews a lease; returns whether it exists.
    pub(super) fn renew_lease(&mut self, lease: i64) -> bool {
        let Some((ttl, expires_at)) = self.leases.get_mut(&lease) else {
            return false;
        };
        *expires_at = Instant::now() + *ttl;
        true
    }

    /// Revokes a lease and removes its keys; returns whether it existed.
    pub(super) fn revoke_lease(&mut self, lease: i64) -> bool {
        let Some((_, expires_at)) = self.leases.get_mut(&lease) else {
            return false;
        };
        *expires_at = Instant::now();
        self.expire_leases();
        true
    }

    /// Removes expired leases and their keys; returns whether keys were removed.
    pub(super) fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| *expires_at <= now)
            .map(|(lease, _)| *lease)
            .collect();
        self.leases.retain(|_, (_, expires_at)| *expires_at > now);
        let keys = self.items.iter().filter(|(_, item)| expired.contains(&item.lease));
        let removed: Vec<_> = keys.map(|(key, _)| (key.clone(), None)).collect();
        let is_changed = !removed.is_empty();
        if is_changed {
            self.apply_changes(removed);
        }
        is_changed
    }
}

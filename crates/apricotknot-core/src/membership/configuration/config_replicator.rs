//! Pulls newer configuration from peers, and reports which records are new.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ConfigTable;
use super::StaleBatch;
use crate::membership::ConfigurationBatch;
use crate::membership::ConfigurationRecord;
use crate::membership::NodeSummary;
use crate::membership::hash::hash_text;
use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::RevisionNumber;

/// Time after which a pull without a response is abandoned.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the first retry of a failed pull; doubles with each further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Largest number of doublings of the retry delay.
const MAX_DOUBLINGS: u32 = 5;

/// Shortest time between two pulls of the whole table of a peer for comparison.
const COMPARE_INTERVAL: Duration = Duration::from_secs(5);

/// Largest number of peers that are recorded as having newer configuration.
const MAX_SOURCES: usize = 8;

/// Requests an operation from the cluster state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigAction {
    /// Pull the records after `since` from `peer`.
    Pull {
        /// Peer to pull from.
        peer: NodeId,
        /// Newest revision of the table to extend; the peer sends the records after it.
        since: RevisionNumber,
    },
    /// Put records in force, in the given order.
    Apply {
        /// Records that are new on this node.
        records: Vec<ConfigurationRecord>,
        /// Newest revision in force after the records.
        revision: RevisionNumber,
    },
}

/// Pull in flight.
#[derive(Clone, Debug)]
struct PullAttempt {
    peer: NodeId,
    since: RevisionNumber,
    started: MonotonicTime,
}

/// Copy of the table of a peer, filled batch by batch.
#[derive(Clone, Debug)]
struct PeerCopy {
    peer: NodeId,
    table: ConfigTable,
}

/// Replicates the newest configuration of the peers to this node.
#[derive(Clone, Debug)]
pub struct ConfigReplicator {
    own: NodeId,
    table: ConfigTable,
    /// Copy of a peer's table, pulled from revision 0, while the digests differ at one revision.
    peer_copy: Option<PeerCopy>,
    compared_at: Option<MonotonicTime>,
    /// Peers with newer configuration, and their newest known revisions.
    sources: BTreeMap<NodeId, RevisionNumber>,
    pull: Option<PullAttempt>,
    failures: u32,
    retry_at: MonotonicTime,
    stale_batches: u64,
}

impl ConfigReplicator {
    /// Creates an empty configuration for node `own`.
    pub fn new(own: impl Into<NodeId>) -> Self {
        Self {
            own: own.into(),
            table: ConfigTable::default(),
            peer_copy: None,
            compared_at: None,
            sources: BTreeMap::new(),
            pull: None,
            failures: 0,
            retry_at: MonotonicTime::ZERO,
            stale_batches: 0,
        }
    }
}

impl ConfigReplicator {
    /// Handles the summary of the configuration that `peer` has in force.
    ///
    /// Equal revisions with different digests mean that one of the two nodes has missed a deletion
    /// whose tombstone its sources had already evicted. The whole table of the peer is then pulled
    /// and compared.
    pub fn receive_summary(
        &mut self,
        peer: &NodeId,
        summary: &NodeSummary,
        now: MonotonicTime,
    ) -> Vec<ConfigAction> {
        if summary.revision > self.table.revision() {
            self.sources.insert(peer.clone(), summary.revision);
            self.trim_sources();
        }
        let digests = [summary.configuration_digest, self.table.digest()];
        let is_different = summary.revision == self.table.revision()
            && digests[0] != digests[1]
            && !digests.contains(&0);
        let is_due =
            self.compared_at.is_none_or(|last| now.saturating_sub(last) >= COMPARE_INTERVAL);
        if is_different && is_due && self.pull.is_none() {
            self.compared_at = Some(now);
            self.peer_copy = Some(PeerCopy { peer: peer.clone(), table: ConfigTable::default() });
        }
        self.tick(now)
    }

    /// Advances time to `now`: abandons a pull that has timed out, and starts the next one.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<ConfigAction> {
        if let Some(pull) = &self.pull
            && now.saturating_sub(pull.started) >= PULL_TIMEOUT
        {
            let peer = pull.peer.clone();
            self.record_failure(&peer, now);
        }
        self.next_pull(now).into_iter().collect()
    }

    /// Handles the batch that `peer` returned for a pull; an unexpected batch is dropped as stale.
    pub fn receive(
        &mut self,
        peer: &NodeId,
        batch: &ConfigurationBatch,
        now: MonotonicTime,
    ) -> Vec<ConfigAction> {
        let is_expected =
            self.pull.as_ref().is_some_and(|pull| pull.peer == *peer && pull.since == batch.since);
        if !is_expected {
            self.stale_batches += 1;
            return Vec::new();
        }
        self.pull = None;
        self.failures = 0;
        let is_batch_empty = batch.through <= batch.since;
        if is_batch_empty {
            self.sources.remove(peer);
        }
        let mut actions = match self.peer_copy.take() {
            Some(peer_copy) => self.extend_peer_copy(peer_copy, batch),
            None => self.apply_pulled(batch),
        };
        actions.extend(self.next_pull(now));
        actions
    }

    /// Records that a pull from `peer` failed, and delays the next pull.
    pub fn pull_failed(&mut self, peer: &NodeId, now: MonotonicTime) -> Vec<ConfigAction> {
        if self.pull.as_ref().is_some_and(|pull| pull.peer == *peer) {
            self.record_failure(peer, now);
        }
        self.next_pull(now).into_iter().collect()
    }

    /// Removes a peer from which nothing can be pulled; the next tick selects another.
    pub fn remove_source(&mut self, peer: &NodeId) {
        self.sources.remove(peer);
        if self.pull.as_ref().is_some_and(|pull| pull.peer == *peer) {
            self.pull = None;
            self.peer_copy = None;
        }
    }

    /// Applies all writes that the key-value service reported after `batch.since` and up to
    /// `batch.through`.
    ///
    /// # Errors
    ///
    /// Refuses a batch that leaves a gap after the table; the caller then reads the whole
    /// configuration from the service.
    pub fn apply_writes(
        &mut self,
        batch: &ConfigurationBatch,
    ) -> Result<Vec<ConfigAction>, StaleBatch> {
        let records = self.table.apply_writes(batch).inspect_err(|_| self.stale_batches += 1)?;
        Ok(self.actions_for(records))
    }

    /// Applies a snapshot of all records that the key-value service held at `revision`.
    ///
    /// # Errors
    ///
    /// Refuses a snapshot that is older than the configuration in force.
    pub fn load_snapshot(
        &mut self,
        revision: RevisionNumber,
        records: &[ConfigurationRecord],
    ) -> Result<Vec<ConfigAction>, StaleBatch> {
        let records =
            self.table.load_snapshot(revision, records).inspect_err(|_| self.stale_batches += 1)?;
        Ok(self.actions_for(records))
    }

    /// Applies a batch that was pulled from a peer; a stale one only counts.
    fn apply_pulled(&mut self, batch: &ConfigurationBatch) -> Vec<ConfigAction> {
        match self.table.apply_batch(batch) {
            Ok(records) => self.actions_for(records),
            Err(_) => {
                self.stale_batches += 1;
                Vec::new()
            },
        }
    }

    /// Extends the copy of the peer's table, and compares both tables once the copy is complete.
    fn extend_peer_copy(
        &mut self,
        mut peer_copy: PeerCopy,
        batch: &ConfigurationBatch,
    ) -> Vec<ConfigAction> {
        if peer_copy.table.apply_batch(batch).is_err() {
            self.stale_batches += 1;
            return Vec::new();
        }
        if !peer_copy.table.is_complete() {
            let is_stuck = batch.through <= batch.since;
            self.peer_copy = (!is_stuck).then_some(peer_copy);
            return Vec::new();
        }
        if !self.table.is_complete() {
            return Vec::new();
        }
        let records = self.table.reconcile(&peer_copy.table);
        self.actions_for(records)
    }

    /// Returns the action that puts the new records in force, if any; drops outdated sources.
    fn actions_for(&mut self, records: Vec<ConfigurationRecord>) -> Vec<ConfigAction> {
        let revision = self.table.revision();
        self.sources.retain(|_, known| *known > revision);
        match records.is_empty() {
            true => Vec::new(),
            false => vec![ConfigAction::Apply { records, revision }],
        }
    }

    /// Removes the peer as a source, and delays the next pull with exponential backoff and jitter.
    fn record_failure(&mut self, peer: &NodeId, now: MonotonicTime) {
        self.pull = None;
        self.peer_copy = None;
        self.sources.remove(peer);
        let delay = FIRST_RETRY_DELAY * (1 << self.failures.min(MAX_DOUBLINGS));
        let jitter = hash_text(u64::from(self.failures), &self.own) % 500;
        self.failures += 1;
        self.retry_at = now + delay.mul_f64(0.75 + jitter as f64 / 1_000.0);
    }

    /// Starts the next pull, unless one is in flight or the retry delay has not passed.
    fn next_pull(&mut self, now: MonotonicTime) -> Option<ConfigAction> {
        if self.pull.is_some() || now < self.retry_at {
            return None;
        }
        let (peer, since) = match &self.peer_copy {
            Some(peer_copy) => (peer_copy.peer.clone(), peer_copy.table.revision()),
            None => (self.best_source()?, self.table.revision()),
        };
        self.pull = Some(PullAttempt { peer: peer.clone(), since, started: now });
        Some(ConfigAction::Pull { peer, since })
    }

    /// Returns the peer with the newest revision; a hash breaks ties differently on each node.
    fn best_source(&self) -> Option<NodeId> {
        let salt = hash_text(0, &self.own);
        self.sources
            .iter()
            .max_by_key(|(peer, revision)| (**revision, hash_text(salt, peer)))
            .map(|(peer, _)| peer.clone())
    }

    /// Removes the sources with the oldest revisions beyond [`MAX_SOURCES`].
    fn trim_sources(&mut self) {
        while self.sources.len() > MAX_SOURCES {
            let oldest = self.sources.iter().min_by_key(|(_, revision)| **revision);
            let Some(peer) = oldest.map(|(peer, _)| peer.clone()) else {
                return;
            };
            self.sources.remove(&peer);
        }
    }
}

impl ConfigReplicator {
    /// Returns the table that holds the configuration in force.
    pub fn table(&self) -> &ConfigTable {
        &self.table
    }

    /// Returns the newest revision that is in force on this node or that a peer has reported.
    pub fn newest_known(&self) -> RevisionNumber {
        let newest_reported = self.sources.values().copied().max().unwrap_or(0);
        newest_reported.max(self.table.revision())
    }

    /// Returns how many batches and snapshots were refused as stale.
    pub fn stale_batches(&self) -> u64 {
        self.stale_batches
    }
}

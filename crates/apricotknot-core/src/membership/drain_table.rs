//! Drain notices that spread between nodes without the key-value service.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::DrainNotice;
use super::DrainSubject;
use super::hash::hash_text;
use super::update_queue::UpdateQueue;
use super::update_queue::send_limit;
use crate::types::NodeId;

/// Largest number of drain notices that are piggybacked on one message.
const MAX_NOTICES: usize = 8;

/// Largest number of drain notices that are kept.
const MAX_NOTICES_HELD: usize = 4_096;

type DrainKey = (DrainSubject, Arc<str>);

/// Holds the newest drain notice about each subject.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    notices: BTreeMap<DrainKey, DrainNotice>,
    queue: UpdateQueue<DrainKey, DrainNotice>,
    /// Largest version of all notices.
    version: u64,
    digest: u64,
}

impl DrainTable {
    /// Issues a notice at node `origin`, and returns it.
    ///
    /// Its version is larger than that of every notice in the table.
    pub fn issue(
        &mut self,
        subject: DrainSubject,
        name: impl Into<Arc<str>>,
        out: bool,
        origin: impl Into<NodeId>,
    ) -> DrainNotice {
        let notice = DrainNotice {
            subject,
            name: name.into(),
            out,
            version: self.version + 1,
            origin: origin.into(),
        };
        self.apply(&notice);
        notice
    }

    /// Applies a notice from a peer, and returns whether it is new.
    ///
    /// Refuses a notice about a further subject while the table is full.
    pub fn apply(&mut self, notice: &DrainNotice) -> bool {
        let key = (notice.subject, notice.name.clone());
        let known = self.notices.get(&key);
        let is_full = known.is_none() && self.notices.len() >= MAX_NOTICES_HELD;
        if is_full || known.is_some_and(|known| !notice.supersedes(known)) {
            return false;
        }
        self.digest ^= known.map_or(0, notice_hash) ^ notice_hash(notice);
        self.version = self.version.max(notice.version);
        self.notices.insert(key.clone(), notice.clone());
        self.queue.push(key, notice.clone());
        true
    }

    /// Queues all notices to be sent again, because a peer holds different ones.
    pub fn resend_all(&mut self) {
        for (key, notice) in &self.notices {
            self.queue.push(key.clone(), notice.clone());
        }
    }

    /// Returns the notices to piggyback on the next message in a fleet of `members` members.
    pub fn next_batch(&mut self, members: usize) -> Vec<DrainNotice> {
        self.queue.next_batch(MAX_NOTICES, send_limit(members))
    }
}

impl DrainTable {
    /// Returns the notice about a subject, or none when the configuration alone decides.
    pub fn get(&self, subject: DrainSubject, name: &str) -> Option<&DrainNotice> {
        self.notices.get(&(subject, Arc::from(name)))
    }

    /// Returns all notices, by subject and name.
    pub fn notices(&self) -> impl Iterator<Item = &DrainNotice> {
        self.notices.values()
    }

    /// Returns the digest of all notices.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}

/// Returns the share of a notice in the digest.
fn notice_hash(notice: &DrainNotice) -> u64 {
    let seed = hash_text(notice.version, &notice.origin) ^ notice.subject as u64;
    hash_text(seed, &notice.name)
}

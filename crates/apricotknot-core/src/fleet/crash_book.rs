//! Requests that crash the endpoints that run them.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::types::EndpointId;
use crate::types::MonotonicTime;

/// Crashes of different endpoints after which a request is refused.
const CRASH_LIMIT: usize = 3;

/// Time for which a crash is held against a request.
const MEMORY: Duration = Duration::from_secs(120);

/// Time for which a crash is told to other nodes.
const NEWS_TIME: Duration = Duration::from_secs(3);

/// Identifies requests with equal path, account and body.
pub type Fingerprint = u64;

/// Tells that an endpoint crashed while it ran a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNote {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Life of the endpoint that crashed.
    pub endpoint: EndpointId,
}

#[derive(Clone, Debug)]
struct CrashEntry {
    endpoints: BTreeSet<EndpointId>,
    newest: MonotonicTime,
}

/// Remembers which requests were aboard endpoints that crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashBook {
    entries: HashMap<Fingerprint, CrashEntry>,
    news: Vec<(MonotonicTime, CrashNote)>,
}

impl CrashBook {
    /// Records a crash seen by this node.
    pub fn record(&mut self, note: CrashNote, now: MonotonicTime) {
        self.news.push((now, note.clone()));
        self.learn(note, now);
    }

    /// Takes in a crash that another node saw.
    pub fn learn(&mut self, note: CrashNote, now: MonotonicTime) {
        self.entries.retain(|_, entry| entry.newest + MEMORY > now);
        let fresh = CrashEntry { endpoints: BTreeSet::new(), newest: now };
        let entry = self.entries.entry(note.fingerprint).or_insert(fresh);
        if entry.endpoints.insert(note.endpoint) {
            entry.newest = now;
        }
    }

    /// Clears a request that was answered: it is not what made the endpoints crash.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.entries.remove(&fingerprint);
    }

    /// Returns whether a request must not be sent again.
    pub fn is_condemned(&self, fingerprint: Fingerprint, now: MonotonicTime) -> bool {
        self.entries.get(&fingerprint).is_some_and(|entry| {
            entry.endpoints.len() >= CRASH_LIMIT && entry.newest + MEMORY > now
        })
    }

    /// Returns the crashes that other nodes are to be told of.
    pub fn news(&mut self, now: MonotonicTime) -> Vec<CrashNote> {
        self.news.retain(|(at, _)| *at + NEWS_TIME > now);
        self.news.iter().map(|(_, note)| note.clone()).collect()
    }
}

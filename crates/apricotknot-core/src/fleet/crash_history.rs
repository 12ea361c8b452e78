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
const CRASH_LIFETIME: Duration = Duration::from_secs(120);

/// Time for which a crash is told to other nodes.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Identifies requests with equal path, account and body.
pub type RequestFingerprint = u64;

/// Tells that an endpoint crashed while it ran a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Identifies the request.
    pub fingerprint: RequestFingerprint,
    /// Life of the endpoint that crashed.
    pub endpoint: EndpointId,
}

#[derive(Clone, Debug)]
struct CrashEntry {
    endpoints: BTreeSet<EndpointId>,
    last_crash: MonotonicTime,
}

/// Remembers which requests were aboard endpoints that crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    entries: HashMap<RequestFingerprint, CrashEntry>,
    recent_reports: Vec<(MonotonicTime, CrashReport)>,
}

impl CrashHistory {
    /// Records a crash seen by this node.
    pub fn record(&mut self, report: CrashReport, now: MonotonicTime) {
        self.recent_reports.push((now, report.clone()));
        self.apply_report(report, now);
    }

    /// Takes in a crash that another node saw.
    pub fn apply_report(&mut self, report: CrashReport, now: MonotonicTime) {
        self.entries.retain(|_, entry| entry.last_crash + CRASH_LIFETIME > now);
        let fresh = CrashEntry { endpoints: BTreeSet::new(), last_crash: now };
        let entry = self.entries.entry(report.fingerprint).or_insert(fresh);
        if entry.endpoints.insert(report.endpoint) {
            entry.last_crash = now;
        }
    }

    /// Clears a request that was answered: it is not what made the endpoints crash.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) {
        self.entries.remove(&fingerprint);
    }

    /// Returns whether a request must not be sent again.
    pub fn is_quarantined(&self, fingerprint: RequestFingerprint, now: MonotonicTime) -> bool {
        self.entries.get(&fingerprint).is_some_and(|entry| {
            entry.endpoints.len() >= CRASH_LIMIT && entry.last_crash + CRASH_LIFETIME > now
        })
    }

    /// Returns the crashes that other nodes are to be told of.
    pub fn recent_reports(&mut self, now: MonotonicTime) -> Vec<CrashReport> {
        self.recent_reports.retain(|(at, _)| *at + REPORT_LIFETIME > now);
        self.recent_reports.iter().map(|(_, report)| report.clone()).collect()
    }
}

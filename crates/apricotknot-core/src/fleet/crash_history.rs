//! History of the requests that were running when an endpoint crashed.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::types::EndpointId;
use crate::types::MonotonicTime;

/// Number of different endpoints that must crash before a request is refused.
const CRASH_LIMIT: usize = 3;

/// Time for which a crash counts against a request.
const CRASH_LIFETIME: Duration = Duration::from_secs(120);

/// Time for which a crash is included in the snapshots sent to other nodes.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Digest of a request's path, account and body; equal for copies of one request.
pub type RequestFingerprint = u64;

/// Reports that an endpoint crashed while it ran a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Fingerprint of the request that was running.
    pub fingerprint: RequestFingerprint,
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
}

#[derive(Clone, Debug)]
struct CrashEntry {
    endpoints: BTreeSet<EndpointId>,
    last_crash: MonotonicTime,
}

/// Counts, for each request fingerprint, the endpoints that crashed while they ran it.
///
/// Holds the crashes that this node detected and those that other nodes reported.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    entries: HashMap<RequestFingerprint, CrashEntry>,
    recent_reports: Vec<(MonotonicTime, CrashReport)>,
}

impl CrashHistory {
    /// Records a crash that this node detected, and queues it for the other nodes.
    pub fn record(&mut self, report: CrashReport, now: MonotonicTime) {
        self.recent_reports.push((now, report.clone()));
        self.apply_report(report, now);
    }

    /// Applies a crash that another node reported.
    ///
    /// Several crashes of one endpoint count once.
    pub fn apply_report(&mut self, report: CrashReport, now: MonotonicTime) {
        self.entries.retain(|_, entry| entry.last_crash + CRASH_LIFETIME > now);
        let fresh = CrashEntry { endpoints: BTreeSet::new(), last_crash: now };
        let entry = self.entries.entry(report.fingerprint).or_insert(fresh);
        if entry.endpoints.insert(report.endpoint) {
            entry.last_crash = now;
        }
    }

    /// Removes the crashes of a request that was answered, as it did not cause them.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) {
        self.entries.remove(&fingerprint);
    }

    /// Returns whether a request has crashed so many endpoints that it must not be sent again.
    pub fn is_quarantined(&self, fingerprint: RequestFingerprint, now: MonotonicTime) -> bool {
        self.entries.get(&fingerprint).is_some_and(|entry| {
            entry.endpoints.len() >= CRASH_LIMIT && entry.last_crash + CRASH_LIFETIME > now
        })
    }

    /// Returns the recent crashes that this node detected, for the snapshots sent to other nodes.
    pub fn recent_reports(&mut self, now: MonotonicTime) -> Vec<CrashReport> {
        self.recent_reports.retain(|(at, _)| *at + REPORT_LIFETIME > now);
        self.recent_reports.iter().map(|(_, report)| report.clone()).collect()
    }
}

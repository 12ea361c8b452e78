//! Requests that must not be sent, as they or parts of their prompts crash endpoints.

use std::time::Duration;

use apricotknot_core::fleet::CrashHistory;
use apricotknot_core::fleet::CrashReport;
use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::PartCrashReport;
use apricotknot_core::fleet::PartHistory;
use apricotknot_core::fleet::PromptPartId;
use apricotknot_core::fleet::RequestFingerprint;
use apricotknot_core::types::MonotonicTime;

use super::PlacementRequest;
use super::RegistryChange;

/// Longest time from a broken connection to the sign that confirms the crash of its endpoint.
const CRASH_CONFIRM_WINDOW: Duration = Duration::from_secs(6);

/// Reports that a part of prompts is quarantined from now on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineNotice {
    /// Digest of the part.
    pub part: PromptPartId,
    /// Number of crashes that led to the quarantine.
    pub crashes: usize,
    /// Whether this node detected the last of the crashes.
    pub is_own: bool,
}

/// Holds the crashes that this node and others have seen, and what is quarantined for them.
#[derive(Debug, Default)]
pub(super) struct RequestQuarantine {
    requests: CrashHistory,
    parts: PartHistory,
    /// Requests whose connections broke, with the endpoints that may have crashed, and when.
    suspected_crashes: Vec<(MonotonicTime, CrashReport)>,
    /// Notices that were not taken yet.
    notices: Vec<QuarantineNotice>,
}

impl RequestQuarantine {
    /// Records that a connection broke after a request was sent.
    pub(super) fn record_broken(&mut self, report: CrashReport, now: MonotonicTime) {
        self.suspected_crashes.push((now, report));
    }

    /// Records that a connection broke before the answer to a prompt began.
    pub(super) fn record_prompt_broken(&mut self, report: PartCrashReport, now: MonotonicTime) {
        let quarantined = self.parts.record_crash(report, now);
        self.add_notices(quarantined, true);
    }

    /// Records that a request was answered completely.
    pub(super) fn record_answered(
        &mut self,
        fingerprint: RequestFingerprint,
        parts: &[PromptPartId],
        now: MonotonicTime,
    ) {
        self.parts.record_answer(parts, now);
        self.suspected_crashes.retain(|(_, report)| report.fingerprint != fingerprint);
        self.requests.clear(fingerprint);
    }

    /// Records a confirmed crash for each request whose connection the endpoint broke recently.
    ///
    /// Called when the endpoint is unreachable, is removed or has restarted. A broken connection
    /// alone does not prove a crash.
    pub(super) fn confirm_crashes(&mut self, endpoint: &str, now: MonotonicTime) {
        self.suspected_crashes.retain(|(at, _)| *at + CRASH_CONFIRM_WINDOW > now);
        let suspected_crashes = std::mem::take(&mut self.suspected_crashes);
        let (crashed, others): (Vec<_>, Vec<_>) =
            suspected_crashes.into_iter().partition(|(_, report)| *report.endpoint == *endpoint);
        self.suspected_crashes = others;
        for (_, report) in crashed {
            self.requests.record(report, now);
        }
    }

    /// Takes the crashes and answers out of the snapshot of another node, and applies them.
    pub(super) fn apply_reports(&mut self, snapshot: &mut LoadSnapshot, now: MonotonicTime) {
        for report in std::mem::take(&mut snapshot.crashes) {
            self.requests.apply_report(report, now);
        }
        for report in std::mem::take(&mut snapshot.part_crashes) {
            let quarantined = self.parts.apply_crash(&report, now);
            self.add_notices(quarantined, false);
        }
        for report in std::mem::take(&mut snapshot.part_answers) {
            self.parts.apply_answer(report, now);
        }
    }

    /// Adds the crashes and answers that this node saw to the snapshot for other nodes.
    pub(super) fn add_reports(&mut self, snapshot: &mut LoadSnapshot, now: MonotonicTime) {
        snapshot.crashes = self.requests.recent_reports(now);
        snapshot.part_crashes = self.parts.recent_crashes(now);
        snapshot.part_answers = self.parts.answered_suspects(now);
    }

    /// Applies the changes of recorded parts, of a complete snapshot or since the last one.
    pub(super) fn apply_registry_change(&mut self, change: &RegistryChange, now: MonotonicTime) {
        match change {
            RegistryChange::PartQuarantined(part) => self.parts.set_stored(*part, now),
            RegistryChange::PartReleased(part) => self.parts.remove_stored(*part),
            _ => {},
        }
    }

    /// Releases the recorded parts that a complete snapshot does not contain.
    pub(super) fn retain_recorded(&mut self, changes: &[RegistryChange]) {
        let recorded = changes.iter().filter_map(|change| match change {
            RegistryChange::PartQuarantined(part) => Some(*part),
            _ => None,
        });
        self.parts.retain_stored(&recorded.collect::<Vec<_>>());
    }

    /// Returns the parts that are recorded in the key-value service, as far as this node knows.
    pub(super) fn recorded_parts(&self) -> Vec<PromptPartId> {
        self.parts.stored().collect()
    }

    /// Returns whether a request must not be sent.
    ///
    /// With `may_probe`, a request with a quarantined part is let through from time to time.
    pub(super) fn refuses(
        &mut self,
        request: &PlacementRequest,
        may_probe: bool,
        now: MonotonicTime,
    ) -> bool {
        if self.requests.is_quarantined(request.fingerprint, now) {
            return true;
        }
        let parts = &request.shared_parts;
        self.parts.is_quarantined(parts, now) && !(may_probe && self.parts.try_probe(parts, now))
    }

    /// Takes the notices since the last call.
    pub(super) fn take_notices(&mut self) -> Vec<QuarantineNotice> {
        std::mem::take(&mut self.notices)
    }

    fn add_notices(&mut self, quarantined: Vec<PromptPartId>, is_own: bool) {
        for part in quarantined {
            let crashes = self.parts.crash_count(part);
            self.notices.push(QuarantineNotice { part, crashes, is_own });
        }
    }
}

//! History of the parts of prompts that were being answered when an endpoint crashed.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::RequestFingerprint;
use crate::membership::hash_text;
use crate::types::AttemptId;
use crate::types::EndpointId;
use crate::types::MonotonicTime;

/// Number of crashes after which a part is quarantined if no answer to it is known.
const CRASH_LIMIT: usize = 3;

/// Number of crashes after which a part is quarantined although it was answered before.
const ANSWERED_CRASH_LIMIT: usize = 8;

/// Longest time between two broken connections that one crash of an endpoint explains.
const CRASH_WINDOW: Duration = Duration::from_millis(500);

/// Time after its last crash at which one prompt with a quarantined part is let through; it doubles
/// each time.
const FIRST_PROBE_DELAY: Duration = Duration::from_secs(30);

/// Number of different requests that must crash before their common part is quarantined.
const REQUEST_LIMIT: usize = 2;

/// Shortest time from the first to the last crash; the loss of many endpoints at once is shorter.
const MIN_CRASH_SPAN: Duration = Duration::from_millis(300);

/// Time for which an answer speaks for a part.
const ANSWER_LIFETIME: Duration = Duration::from_secs(60);

/// Time for which a crash counts against a part.
const CRASH_LIFETIME: Duration = Duration::from_secs(120);

/// Time for which a part is quarantined.
const QUARANTINE_LIFETIME: Duration = Duration::from_secs(600);

/// Time after a crash for which answers to its parts are reported to other nodes.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(10);

/// Time for which a crash is included in the snapshots sent to other nodes.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Maximum broken connections that are kept for one part.
const MAX_CRASHES: usize = 32;

/// Maximum parts whose crashes or answers are kept.
const MAX_PARTS: usize = 4_096;

/// Maximum crashes in one snapshot.
const MAX_REPORTS: usize = 16;

/// Maximum answered parts in one snapshot.
const MAX_ANSWER_REPORTS: usize = 64;

/// Maximum crashes that wait to be sent to other nodes.
const MAX_OWN_REPORTS: usize = 64;

/// Digest of the id of one part of a prompt.
pub type PromptPartId = u64;

/// Reports that an endpoint crashed before it began to answer a prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartCrashReport {
    /// Attempt whose connection broke.
    pub attempt: AttemptId,
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
    /// Fingerprint of the request.
    pub request: RequestFingerprint,
    /// Parts of the prompt that other prompts can share.
    pub parts: Vec<PromptPartId>,
    /// Time since the connection broke, in milliseconds.
    pub age_ms: u32,
}

/// Reports that a prompt with a suspect part was answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartAnswerReport {
    /// Part that was answered.
    pub part: PromptPartId,
    /// Time since the answer, in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Debug)]
struct PartCrash {
    attempt: AttemptId,
    endpoint: EndpointId,
    request: RequestFingerprint,
    at: MonotonicTime,
}

impl PartCrash {
    /// Returns whether one crash of an endpoint explains both broken connections.
    fn is_same_crash(&self, other: &Self) -> bool {
        let distance = self.at.max(other.at) - self.at.min(other.at);
        self.endpoint == other.endpoint && distance < CRASH_WINDOW
    }
}

/// Quarantine of one part.
#[derive(Clone, Copy, Debug)]
struct PartQuarantine {
    /// Time at which it began.
    began: MonotonicTime,
    /// Time at which the next prompt is let through.
    next_probe: MonotonicTime,
    /// Time from that prompt to the one after it.
    probe_delay: Duration,
}

/// Decides which parts of prompts crash endpoints, from the crashes and answers of all nodes.
///
/// A part is suspected by crashes, and cleared by an answer to any prompt that contains it. A crash
/// also cuts off the other prompts at its endpoint; it does not count against a part if a likelier
/// part was there: one without an answer, or one with more crashes.
#[derive(Clone, Debug, Default)]
pub struct PartHistory {
    /// Broken connections since the last known answer, by part.
    crashes: HashMap<PromptPartId, Vec<PartCrash>>,
    /// Time of the last reported crash, by part; also of parts that were answered since.
    suspects: HashMap<PromptPartId, MonotonicTime>,
    /// Time of the last known answer, by part.
    answers: HashMap<PromptPartId, MonotonicTime>,
    /// Time of the last answer that this node received, by part.
    own_answers: HashMap<PromptPartId, MonotonicTime>,
    /// Crashes that this node detected, to be sent to other nodes.
    own_reports: Vec<(MonotonicTime, PartCrashReport)>,
    quarantined: HashMap<PromptPartId, PartQuarantine>,
    /// Parts that the key-value service lists as quarantined.
    stored: BTreeSet<PromptPartId>,
}

// Methods that change the history.
impl PartHistory {
    /// Records a crash that this node detected, and queues it for the other nodes; returns the
    /// parts that it quarantines.
    pub fn record_crash(
        &mut self,
        report: PartCrashReport,
        now: MonotonicTime,
    ) -> Vec<PromptPartId> {
        let quarantined = self.apply_crash(&report, now);
        if self.own_reports.len() == MAX_OWN_REPORTS {
            self.own_reports.remove(0);
        }
        self.own_reports.push((now, report));
        quarantined
    }

    /// Applies a crash that another node reported; returns the parts that it quarantines.
    ///
    /// Does nothing if the crash is known, or if a part was answered later.
    pub fn apply_crash(
        &mut self,
        report: &PartCrashReport,
        now: MonotonicTime,
    ) -> Vec<PromptPartId> {
        let at = now.saturating_sub(Duration::from_millis(u64::from(report.age_ms)));
        let mut is_known = true;
        for part in &report.parts {
            let reported = self.suspects.entry(*part).or_insert(at);
            *reported = at.max(*reported);
            if self.answers.get(part).is_some_and(|answered| *answered >= at) {
                continue;
            }
            let known = self.crashes.entry(*part).or_default();
            let is_new = known.iter().all(|other| other.attempt != report.attempt);
            if is_new && known.len() < MAX_CRASHES {
                is_known = false;
                known.push(PartCrash {
                    attempt: report.attempt,
                    endpoint: Arc::clone(&report.endpoint),
                    request: report.request,
                    at,
                });
            }
        }
        self.suspects.retain(|_, reported| *reported + SUSPECT_LIFETIME > now);
        if is_known {
            return Vec::new();
        }
        self.remove_expired(now);
        let mut quarantined = Vec::new();
        for part in &report.parts {
            if !self.quarantined.contains_key(part) && self.has_reached_limit(*part, now) {
                self.quarantine(*part, now);
                quarantined.push(*part);
            }
        }
        quarantined
    }

    /// Records that this node received a complete answer to a prompt with `parts`.
    pub fn record_answer(&mut self, parts: &[PromptPartId], now: MonotonicTime) {
        for part in parts {
            self.own_answers.insert(*part, now);
            self.apply_answer_at(*part, now, now);
        }
        prune_answers(&mut self.own_answers);
        prune_answers(&mut self.answers);
    }

    /// Applies an answer that another node reported.
    pub fn apply_answer(&mut self, report: PartAnswerReport, now: MonotonicTime) {
        let age = Duration::from_millis(u64::from(report.age_ms));
        self.apply_answer_at(report.part, now.saturating_sub(age), now);
    }

    /// Records that the key-value service lists a part as quarantined.
    pub fn set_stored(&mut self, part: PromptPartId, now: MonotonicTime) {
        if self.stored.len() < MAX_PARTS && self.stored.insert(part) {
            self.quarantine(part, now);
        }
    }

    /// Records that the key-value service no longer lists a part.
    pub fn remove_stored(&mut self, part: PromptPartId) {
        if self.stored.remove(&part) {
            self.quarantined.remove(&part);
        }
    }

    /// Records that the key-value service lists no other parts than those of `present`.
    pub fn retain_stored(&mut self, present: &[PromptPartId]) {
        let removed: Vec<_> =
            self.stored.iter().copied().filter(|part| !present.contains(part)).collect();
        for part in removed {
            self.remove_stored(part);
        }
    }

    /// Returns whether a prompt with `parts` may be sent although they are quarantined.
    ///
    /// One prompt is let through from time to time, so that a part that crashes no endpoint is
    /// cleared by its answer.
    pub fn try_probe(&mut self, parts: &[PromptPartId], now: MonotonicTime) -> bool {
        let is_due =
            |part| self.quarantined.get(part).is_none_or(|quarantine| quarantine.next_probe <= now);
        if !parts.iter().all(is_due) {
            return false;
        }
        for part in parts {
            if let Some(quarantine) = self.quarantined.get_mut(part) {
                quarantine.probe_delay *= 2;
                quarantine.next_probe = now + quarantine.probe_delay;
            }
        }
        true
    }

    /// Returns the crashes that this node detected recently, for the snapshots sent to other nodes.
    pub fn recent_crashes(&mut self, now: MonotonicTime) -> Vec<PartCrashReport> {
        self.own_reports.retain(|(at, _)| *at + REPORT_LIFETIME > now);
        let newest = self.own_reports.iter().rev().take(MAX_REPORTS);
        newest
            .map(|(at, report)| PartCrashReport { age_ms: age_ms(*at, now), ..report.clone() })
            .collect()
    }

    fn apply_answer_at(&mut self, part: PromptPartId, at: MonotonicTime, now: MonotonicTime) {
        let known = self.answers.entry(part).or_insert(at);
        *known = at.max(*known);
        if let Some(crashes) = self.crashes.get_mut(&part) {
            crashes.retain(|crash| crash.at > at);
            if crashes.is_empty() {
                self.crashes.remove(&part);
            }
        }
        let Some(quarantine) = self.quarantined.get(&part) else {
            return;
        };
        // An older answer makes more crashes necessary.
        let is_doubtful = !self.stored.contains(&part) && !self.has_reached_limit(part, now);
        if quarantine.began < at || is_doubtful {
            self.quarantined.remove(&part);
        }
    }

    fn quarantine(&mut self, part: PromptPartId, now: MonotonicTime) {
        let quarantine = PartQuarantine {
            began: now,
            next_probe: now + FIRST_PROBE_DELAY,
            probe_delay: FIRST_PROBE_DELAY,
        };
        self.quarantined.entry(part).or_insert(quarantine);
    }

    fn remove_expired(&mut self, now: MonotonicTime) {
        self.crashes
            .retain(|_, crashes| crashes.iter().any(|crash| crash.at + CRASH_LIFETIME > now));
        if self.crashes.len() > MAX_PARTS {
            self.crashes.retain(|_, crashes| crashes.len() >= CRASH_LIMIT);
        }
        self.quarantined.retain(|_, quarantine| quarantine.began + QUARANTINE_LIFETIME > now);
    }
}

// Methods that only read the history.
impl PartHistory {
    /// Returns the parts that the key-value service lists.
    pub fn stored(&self) -> impl Iterator<Item = PromptPartId> {
        self.stored.iter().copied()
    }

    /// Returns whether any of `parts` has crashed so many endpoints that no prompt with it may be
    /// sent.
    pub fn is_quarantined(&self, parts: &[PromptPartId], now: MonotonicTime) -> bool {
        parts.iter().any(|part| {
            let quarantine = self.quarantined.get(part);
            quarantine.is_some_and(|quarantine| quarantine.began + QUARANTINE_LIFETIME > now)
        })
    }

    /// Returns the number of crashes since the last answer to a part.
    pub fn crash_count(&self, part: PromptPartId) -> usize {
        self.crashes.get(&part).map_or(0, |crashes| count_crashes(crashes.iter()))
    }

    /// Returns the suspect parts to which this node received answers, for the snapshots sent to
    /// other nodes; those with the most crashes first.
    pub fn answered_suspects(&self, now: MonotonicTime) -> Vec<PartAnswerReport> {
        let reported = self.suspects.iter();
        let reported =
            reported.filter(|(_, at)| **at + SUSPECT_LIFETIME > now).map(|(part, _)| part);
        let suspects: BTreeSet<_> =
            reported.chain(self.crashes.keys()).chain(self.quarantined.keys()).collect();
        let mut answered: Vec<_> = suspects
            .into_iter()
            .filter_map(|part| {
                let at = *self.own_answers.get(part)?;
                (at + ANSWER_LIFETIME > now)
                    .then(|| PartAnswerReport { part: *part, age_ms: age_ms(at, now) })
            })
            .collect();
        answered.sort_by_key(|report| {
            let crashes = self.crashes.get(&report.part).map_or(0, Vec::len);
            Reverse((self.quarantined.contains_key(&report.part), crashes))
        });
        answered.truncate(MAX_ANSWER_REPORTS);
        answered
    }

    /// Returns whether the crashes since the last answer are enough for a quarantine.
    fn has_reached_limit(&self, part: PromptPartId, now: MonotonicTime) -> bool {
        let limit = if self.was_answered(part, now) { ANSWERED_CRASH_LIMIT } else { CRASH_LIMIT };
        if self.crash_count(part) < limit {
            return false;
        }
        let crashes = self.unexplained_crashes(part, now);
        let times = || crashes.iter().map(|crash| crash.at);
        let (Some(first), Some(last)) = (times().min(), times().max()) else {
            return false;
        };
        let requests: BTreeSet<_> = crashes.iter().map(|crash| crash.request).collect();
        count_crashes(crashes.into_iter()) >= limit
            && requests.len() >= REQUEST_LIMIT
            && last - first >= MIN_CRASH_SPAN
    }

    /// Returns the broken connections of a part at crashes where no likelier part was.
    fn unexplained_crashes(&self, part: PromptPartId, now: MonotonicTime) -> Vec<&PartCrash> {
        let Some(crashes) = self.crashes.get(&part) else {
            return Vec::new();
        };
        let likelihood = |part| (!self.was_answered(part, now), self.crash_count(part));
        let own = likelihood(part);
        let likelier: Vec<_> =
            self.crashes.iter().filter(|(other, _)| likelihood(**other) > own).collect();
        let is_explained = |crash: &PartCrash| {
            likelier.iter().any(|(_, others)| others.iter().any(|other| other.is_same_crash(crash)))
        };
        crashes.iter().filter(|crash| !is_explained(crash)).collect()
    }

    fn was_answered(&self, part: PromptPartId, now: MonotonicTime) -> bool {
        self.answers.get(&part).is_some_and(|answered| *answered + ANSWER_LIFETIME > now)
    }
}

/// Counts the crashes of endpoints that explain broken connections.
fn count_crashes<'a>(broken: impl Iterator<Item = &'a PartCrash>) -> usize {
    let mut crashes: Vec<&PartCrash> = Vec::new();
    for crash in broken {
        if !crashes.iter().any(|known| known.is_same_crash(crash)) {
            crashes.push(crash);
        }
    }
    crashes.len()
}

/// Returns the digest of the id of a part, which is the same on all nodes.
pub fn prompt_part_id(id: &str) -> PromptPartId {
    hash_text(0, id)
}

/// Removes the oldest half of the answers if there are too many.
fn prune_answers(answers: &mut HashMap<PromptPartId, MonotonicTime>) {
    if answers.len() <= MAX_PARTS {
        return;
    }
    let mut times: Vec<MonotonicTime> = answers.values().copied().collect();
    let middle = times.len() / 2;
    let (_, median, _) = times.select_nth_unstable(middle);
    let median = *median;
    answers.retain(|_, at| *at > median);
}

fn age_ms(at: MonotonicTime, now: MonotonicTime) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}

//! Decides when one node holds a duty.

use std::time::Duration;

use super::DutyAction;
use super::DutyContents;
use super::DutyEntry;
use super::DutyLease;
use super::DutyLimits;
use super::DutyNotice;
use super::DutyOutcome;
use super::DutyRecord;
use super::DutyTerm;
use super::TermEnd;
use super::duty_record::fencing_number;
use super::holder_phase::GrantedLease;
use super::holder_phase::HolderPhase;
use super::holder_phase::PlatformOutage;
use super::holder_phase::SentCall;
use super::holder_phase::Tenure;
use super::term_vacancy::EraContact;
use super::term_vacancy::TermVacancy;
use crate::fleet::NodePosition;
use crate::types::FencingNumber;
use crate::types::IncarnationNumber;
use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::RevisionNumber;

/// Most doublings of the delay after failed calls.
const MAX_RETRY_DOUBLINGS: u32 = 6;

/// Number of consecutive failed calls of the platform after which a holder may hand over.
const FAILURES_TO_HANDOVER: u32 = 3;

/// Decides when one node holds a duty, from what it knows of the key-value service.
///
/// It asks for one call at a time with [`next_action`](Self::next_action), and is told its outcome with
/// [`complete`](Self::complete). Times are of a clock that counts suspension.
#[derive(Clone, Debug)]
pub struct DutyHolder {
    node: NodeId,
    incarnation: IncarnationNumber,
    limits: DutyLimits,
    phase: HolderPhase,
    /// The call in progress.
    call: Option<SentCall>,
    contents: Option<DutyContents>,
    contact: Option<EraContact>,
    vacancy: Option<TermVacancy>,
    /// Latest time at which this node may have acted in an earlier term.
    acted_until: Option<MonotonicTime>,
    retry_at: MonotonicTime,
    failures: u32,
    outage: Option<PlatformOutage>,
    is_withdrawn: bool,
    notices: Vec<DutyNotice>,
}

impl DutyHolder {
    /// Creates the holder of a node that knows nothing yet.
    pub fn new(node: NodeId, incarnation: IncarnationNumber, limits: DutyLimits) -> Self {
        Self {
            node,
            incarnation,
            limits,
            phase: HolderPhase::Waiting,
            call: None,
            contents: None,
            contact: None,
            vacancy: None,
            acted_until: None,
            retry_at: MonotonicTime::ZERO,
            failures: 0,
            outage: None,
            is_withdrawn: false,
            notices: Vec::new(),
        }
    }

    /// Records that the key-value service answered in `era`.
    pub fn observe_era(&mut self, era: u64, now: MonotonicTime) {
        if self.contact.is_some_and(|contact| contact.era >= era) {
            return;
        }
        self.contact = Some(EraContact { era, at: now });
        self.contents = None;
        self.vacancy = None;
        self.end_term(TermEnd::Restored, now);
    }

    /// Records what the key-value service held for the duty, unless something newer is known.
    pub fn observe(&mut self, contents: DutyContents, now: MonotonicTime) {
        self.observe_era(contents.era, now);
        if !self.is_newer(&contents) {
            return;
        }
        // Another node may have held the duty since the last change that is known.
        self.vacancy = self.find_vacancy(&contents, now);
        self.apply(contents, now);
    }

    /// Records a change of the duty's key, where no change before it was missed.
    pub fn observe_change(&mut self, contents: DutyContents, now: MonotonicTime) {
        self.observe_era(contents.era, now);
        if !self.is_newer(&contents) {
            return;
        }
        let found = self.find_vacancy(&contents, now);
        // The removal of a released record does not begin another vacancy.
        self.vacancy = found.map(|found| self.vacancy.unwrap_or(found));
        self.apply(contents, now);
    }

    fn apply(&mut self, contents: DutyContents, now: MonotonicTime) {
        if self.vacancy.is_none() {
            self.failures = 0;
        }
        let revision = contents.entry.as_ref().map(|entry| entry.revision);
        if let HolderPhase::Holding(tenure) | HolderPhase::Releasing(tenure) = self.phase
            && contents.revision > tenure.revision
            && revision != Some(tenure.revision)
        {
            self.end_term(TermEnd::Replaced, now);
        }
        self.contents = Some(contents);
    }

    /// Returns the call to make at `now`, if there is one.
    ///
    /// `position` is that of this node among the candidates, who take turns in that order.
    pub fn next_action(
        &mut self,
        position: NodePosition,
        now: MonotonicTime,
    ) -> Option<DutyAction> {
        if self.call.is_some() {
            return None;
        }
        self.end_stale_term(position, now);
        if self.is_turn(position, now) {
            self.phase = HolderPhase::Granting;
        }
        if matches!(self.phase, HolderPhase::Taking(_)) && self.vacancy.is_none() {
            self.phase = HolderPhase::Waiting;
        }
        let action = self.phase_action(now)?;
        let is_release = matches!(self.phase, HolderPhase::Releasing(_));
        self.call = Some(SentCall { sent_at: now, is_release });
        Some(action)
    }

    /// Applies the outcome of the call that was asked for last.
    pub fn complete(&mut self, outcome: DutyOutcome, now: MonotonicTime) {
        let Some(SentCall { sent_at, is_release }) = self.call.take() else {
            return;
        };
        match (self.phase, outcome) {
            (HolderPhase::Granting, DutyOutcome::Granted(lease)) => {
                self.observe_era(lease.era, now);
                self.phase = HolderPhase::Taking(GrantedLease { lease, sent_at });
            },
            (HolderPhase::Taking(granted), DutyOutcome::Written(revision)) => {
                self.take(granted, revision, now);
            },
            (HolderPhase::Taking(granted), DutyOutcome::Unknown) => {
                self.phase = HolderPhase::Unsure(granted);
            },
            (HolderPhase::Unsure(granted), DutyOutcome::Read(contents)) => {
                self.resolve(granted, contents, now);
            },
            (HolderPhase::Unsure(granted), _) if now < granted.sent_at + self.limits.ttl => {
                self.retry_at = now + self.limits.retry_delay;
            },
            (HolderPhase::Holding(tenure), outcome) => {
                self.complete_renewal(tenure, &outcome, sent_at, now);
            },
            (HolderPhase::Releasing(_), _) if is_release => self.phase = HolderPhase::Waiting,
            (HolderPhase::Releasing(_) | HolderPhase::Waiting, _) => {},
            (_, DutyOutcome::Conflict(contents)) => {
                if let Some(contents) = contents {
                    self.observe(contents, now);
                }
                self.wait_after_failure(now);
            },
            _ => self.wait_after_failure(now),
        }
    }

    /// Records whether a call of the platform was answered.
    pub fn record_platform(&mut self, is_answered: bool, now: MonotonicTime) {
        if is_answered {
            self.outage = None;
            return;
        }
        let outage = self.outage.get_or_insert(PlatformOutage { since: now, failures: 0 });
        outage.failures += 1;
    }

    /// Ends the term with `fence`: the platform has seen a larger number.
    pub fn record_fenced(&mut self, fence: FencingNumber, now: MonotonicTime) {
        if let HolderPhase::Holding(tenure) = self.phase
            && tenure.fence == fence
        {
            self.begin_release(tenure, TermEnd::Fenced, now);
            self.retry_at = now + self.limits.lease_time;
        }
    }

    /// Ends the term, and takes no other one: the node stops.
    pub fn withdraw(&mut self, now: MonotonicTime) {
        self.is_withdrawn = true;
        if let HolderPhase::Holding(tenure) = self.phase {
            self.begin_release(tenure, TermEnd::Withdrawn, now);
        }
    }

    /// Takes the notices since the last call.
    pub fn take_notices(&mut self) -> Vec<DutyNotice> {
        std::mem::take(&mut self.notices)
    }
}

impl DutyHolder {
    /// Returns the term of this node; it may act only within it.
    pub fn term(&self) -> Option<DutyTerm> {
        let HolderPhase::Holding(tenure) = self.phase else {
            return None;
        };
        let until = self.term_end(tenure);
        Some(DutyTerm { fence: tenure.fence, since: tenure.acts_from, until })
    }

    /// Returns the record of the holder that is known, with its fencing number.
    pub fn known_holder(&self) -> Option<(&DutyRecord, FencingNumber)> {
        let entry = self.contents.as_ref()?.entry.as_ref()?;
        let record = entry.record.as_ref()?;
        Some((record, fencing_number(record.era, entry.revision)?))
    }

    /// Returns whether the node waits for its turn, so that its position counts.
    pub fn is_candidate(&self) -> bool {
        matches!(self.phase, HolderPhase::Waiting) && self.vacancy.is_some() && !self.is_withdrawn
    }

    fn term_end(&self, tenure: Tenure) -> MonotonicTime {
        (tenure.granted.sent_at + self.limits.ttl).saturating_sub(self.limits.margin)
    }

    fn is_turn(&self, position: NodePosition, now: MonotonicTime) -> bool {
        let Some(vacancy) = self.vacancy.filter(|_| self.is_candidate()) else {
            return false;
        };
        let index = u32::try_from(position.index).unwrap_or(u32::MAX);
        let turn = vacancy.since + self.limits.turn_step.saturating_mul(index);
        turn.max(self.retry_at) <= now
    }

    fn phase_action(&self, now: MonotonicTime) -> Option<DutyAction> {
        match self.phase {
            HolderPhase::Waiting => None,
            HolderPhase::Granting => Some(DutyAction::Grant { ttl: self.limits.ttl }),
            HolderPhase::Taking(granted) => {
                let entry = self.contents.as_ref().and_then(|contents| contents.entry.as_ref());
                Some(DutyAction::Write {
                    expected: entry.map(|entry| entry.revision),
                    record: self.record(granted.lease, false),
                    lease: granted.lease,
                })
            },
            HolderPhase::Unsure(_) => (self.retry_at <= now).then_some(DutyAction::Read),
            HolderPhase::Holding(tenure) => (tenure.next_renewal <= now)
                .then_some(DutyAction::Renew { lease: tenure.granted.lease }),
            HolderPhase::Releasing(tenure) => Some(DutyAction::Write {
                expected: Some(tenure.revision),
                record: self.record(tenure.granted.lease, true),
                lease: tenure.granted.lease,
            }),
        }
    }

    fn record(&self, lease: DutyLease, is_released: bool) -> DutyRecord {
        DutyRecord {
            holder: NodeId::clone(&self.node),
            incarnation: self.incarnation,
            era: lease.era,
            lease: lease.id,
            is_released,
        }
    }

    /// Returns whether nothing newer than `contents` is known.
    fn is_newer(&self, contents: &DutyContents) -> bool {
        let known = self.contents.as_ref().map(|known| (known.era, known.revision));
        let is_current = self.contact.is_some_and(|contact| contact.era == contents.era);
        is_current && known.is_none_or(|known| known < (contents.era, contents.revision))
    }

    fn find_vacancy(&self, contents: &DutyContents, now: MonotonicTime) -> Option<TermVacancy> {
        let found = TermVacancy::of(contents, self.contact?, &self.limits, now)?;
        match self.contents {
            Some(_) => Some(found),
            // Nodes that start together do not know one another yet.
            None => Some(TermVacancy { since: found.since + self.limits.ttl, ..found }),
        }
    }

    /// Returns the time from which a term that was taken at `now` may be used.
    fn acts_from(&self, now: MonotonicTime) -> MonotonicTime {
        let turns_over = self.limits.lease_time + self.limits.margin;
        // Without a known vacancy, another node may have held the duty until now.
        let unknown = now + self.limits.ttl + self.limits.margin;
        let former = self.vacancy.map_or(unknown, |vacancy| vacancy.former_over);
        // A process before this one on the same machine may have acted until this one began.
        let contact = self.contact.map_or(now, |contact| contact.at);
        let acted = self.acted_until.unwrap_or_default();
        former.max(now + self.limits.call_time).max(contact.max(acted) + turns_over)
    }
}

impl DutyHolder {
    fn take(&mut self, granted: GrantedLease, revision: RevisionNumber, now: MonotonicTime) {
        let DutyLease { era, .. } = granted.lease;
        let is_current = self.contact.is_some_and(|contact| contact.era == era);
        let is_replaced = self.contents.as_ref().is_some_and(|contents| {
            let found = contents.entry.as_ref().map(|entry| entry.revision);
            contents.era == era && contents.revision > revision && found != Some(revision)
        });
        let may_hold = is_current && !is_replaced;
        let Some(fence) = fencing_number(era, revision).filter(|_| may_hold) else {
            return self.wait_after_failure(now);
        };
        let acts_from = self.acts_from(now);
        let next_renewal = granted.sent_at + self.limits.renew_interval;
        self.phase =
            HolderPhase::Holding(Tenure { granted, fence, revision, acts_from, next_renewal });
        self.failures = 0;
        self.outage = None;
        let acts_in = acts_from.saturating_sub(now);
        self.notices.push(DutyNotice::Taken { fence, acts_in });
        let entry = DutyEntry { revision, record: Some(self.record(granted.lease, false)) };
        self.observe(DutyContents { era, revision, entry: Some(entry) }, now);
    }

    /// Finds out whether the record was written although the answer was lost.
    fn resolve(&mut self, granted: GrantedLease, contents: DutyContents, now: MonotonicTime) {
        let own = self.record(granted.lease, false);
        let entry = contents.entry.as_ref().filter(|entry| entry.record.as_ref() == Some(&own));
        let written = entry.map(|entry| entry.revision);
        match written {
            Some(revision) if contents.era == granted.lease.era => {
                self.take(granted, revision, now);
            },
            _ => {
                self.observe(contents, now);
                self.wait_after_failure(now);
            },
        }
    }

    fn complete_renewal(
        &mut self,
        mut tenure: Tenure,
        outcome: &DutyOutcome,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        match outcome {
            DutyOutcome::Renewed => {
                let pause = now.saturating_sub(self.term_end(tenure));
                if !pause.is_zero() {
                    self.notices.push(DutyNotice::Resumed { fence: tenure.fence, pause });
                }
                tenure.granted.sent_at = sent_at;
                tenure.next_renewal = sent_at + self.limits.renew_interval;
                self.phase = HolderPhase::Holding(tenure);
            },
            DutyOutcome::Expired => self.end_term(TermEnd::Expired, now),
            _ => {
                tenure.next_renewal = now + self.limits.renew_interval / 2;
                self.phase = HolderPhase::Holding(tenure);
            },
        }
    }

    /// Hands over if the platform could not be reached for long while other nodes might reach it.
    fn end_stale_term(&mut self, position: NodePosition, now: MonotonicTime) {
        let is_unreachable = self.outage.is_some_and(|outage| {
            outage.failures >= FAILURES_TO_HANDOVER
                && now >= outage.since + self.limits.handover_time
        });
        if let HolderPhase::Holding(tenure) = self.phase
            && is_unreachable
            && position.count > 1
        {
            self.begin_release(tenure, TermEnd::HandedOver, now);
            self.retry_at = now + self.limits.rest_time;
        }
    }

    fn begin_release(&mut self, tenure: Tenure, end: TermEnd, now: MonotonicTime) {
        self.record_term_end(tenure, end, now);
        self.phase = HolderPhase::Releasing(tenure);
    }

    fn end_term(&mut self, end: TermEnd, now: MonotonicTime) {
        match self.phase {
            HolderPhase::Holding(tenure) => self.record_term_end(tenure, end, now),
            HolderPhase::Releasing(_) => {},
            _ => return,
        }
        self.phase = HolderPhase::Waiting;
    }

    fn record_term_end(&mut self, tenure: Tenure, end: TermEnd, now: MonotonicTime) {
        let until = self.term_end(tenure).min(now);
        if until > tenure.acts_from {
            self.acted_until = self.acted_until.max(Some(until));
        }
        self.outage = None;
        self.notices.push(DutyNotice::Ended { fence: tenure.fence, end });
    }

    fn wait_after_failure(&mut self, now: MonotonicTime) {
        let doublings = self.failures.min(MAX_RETRY_DOUBLINGS);
        let delay: Duration = self.limits.retry_delay * 2_u32.pow(doublings);
        self.failures += 1;
        self.retry_at = now + delay;
        self.phase = HolderPhase::Waiting;
    }
}

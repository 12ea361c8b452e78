//! A key-value service with one key, leases, late writes and copies, in simulated time.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::duty::DutyAction;
use apricotknot_core::duty::DutyContents;
use apricotknot_core::duty::DutyEntry;
use apricotknot_core::duty::DutyLease;
use apricotknot_core::duty::DutyOutcome;

/// Contents of the service, as a copy holds them.
#[derive(Clone, Debug)]
struct StoreData {
    revision: u64,
    entry: Option<(DutyEntry, i64)>,
    leases: BTreeMap<i64, (Duration, Duration)>,
    next_lease: i64,
}

/// Service with the key of one duty.
#[derive(Clone, Debug)]
pub(crate) struct DutyStore {
    data: StoreData,
    copy: StoreData,
    pub(crate) era: u64,
    /// Changes of the key in this era.
    history: Vec<DutyContents>,
    /// Changes up to this revision are forgotten.
    compacted: u64,
    pub(crate) is_down: bool,
    down_since: Duration,
    /// Calls that are carried out later, whatever their sender is told.
    late: Vec<(Duration, DutyAction)>,
    /// Calls other than renewals.
    pub(crate) calls: usize,
    pub(crate) renewals: usize,
}

impl DutyStore {
    pub(crate) fn new() -> Self {
        let data = StoreData { revision: 5, entry: None, leases: BTreeMap::new(), next_lease: 1 };
        Self {
            copy: data.clone(),
            data,
            era: 1,
            history: Vec::new(),
            compacted: 0,
            is_down: false,
            down_since: Duration::ZERO,
            late: Vec::new(),
            calls: 0,
            renewals: 0,
        }
    }

    /// Ends leases and carries out late calls that are due at `now`.
    pub(crate) fn tick(&mut self, now: Duration) {
        if self.is_down {
            return;
        }
        let due: Vec<_> = self.late.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, action) in due {
            self.execute(&action, now);
        }
        self.data.leases.retain(|_, (_, ends_at)| *ends_at > now);
        let is_orphan = |(_, lease): &(DutyEntry, i64)| !self.data.leases.contains_key(lease);
        if self.data.entry.as_ref().is_some_and(is_orphan) {
            self.write(None);
        }
    }

    /// Goes down, or comes back with its leases paused (`true`) or ended early.
    pub(crate) fn set_down(&mut self, is_down: bool, pauses: bool, now: Duration) {
        if is_down && !self.is_down {
            self.down_since = now;
        }
        if !is_down && self.is_down {
            let away = now.saturating_sub(self.down_since);
            for (_, ends_at) in self.data.leases.values_mut() {
                *ends_at = if pauses { *ends_at + away } else { now };
            }
        }
        self.is_down = is_down;
    }

    pub(crate) fn take_copy(&mut self) {
        self.copy = self.data.clone();
    }

    /// Comes back from the last copy; its leases may be lost, while their keys stay.
    pub(crate) fn restore(&mut self, keeps_leases: bool, now: Duration) {
        self.data = self.copy.clone();
        self.era += 1;
        self.history.clear();
        self.compacted = self.data.revision;
        for (ttl, ends_at) in self.data.leases.values_mut() {
            *ends_at = if keeps_leases { now + *ttl } else { now + Duration::from_hours(1) };
        }
    }

    /// Removes the record as an operator does; its lease goes on.
    pub(crate) fn remove_record(&mut self) {
        if self.data.entry.is_some() {
            self.write(None);
        }
    }

    pub(crate) fn compact(&mut self) {
        self.compacted = self.data.revision;
    }

    pub(crate) fn execute_later(&mut self, at: Duration, action: DutyAction) {
        self.late.push((at, action));
    }

    pub(crate) fn execute(&mut self, action: &DutyAction, now: Duration) -> DutyOutcome {
        match action {
            DutyAction::Renew { .. } => self.renewals += 1,
            _ => self.calls += 1,
        }
        match action {
            DutyAction::Grant { ttl } => {
                let id = self.data.next_lease;
                self.data.next_lease += 1;
                self.data.leases.insert(id, (*ttl, now + *ttl));
                DutyOutcome::Granted(DutyLease { era: self.era, id })
            },
            DutyAction::Write { expected, record, lease } => {
                let revision = self.data.entry.as_ref().map(|(entry, _)| entry.revision);
                if lease.era != self.era || !self.data.leases.contains_key(&lease.id) {
                    return DutyOutcome::Refused;
                }
                if revision != *expected {
                    return DutyOutcome::Conflict(Some(self.contents()));
                }
                let entry = DutyEntry { revision: 0, record: Some(record.clone()) };
                self.write(Some((entry, lease.id)));
                DutyOutcome::Written(self.data.revision)
            },
            DutyAction::Read => DutyOutcome::Read(self.contents()),
            DutyAction::Renew { lease } => match self.data.leases.get_mut(&lease.id) {
                Some((ttl, ends_at)) if lease.era == self.era => {
                    *ends_at = now + *ttl;
                    DutyOutcome::Renewed
                },
                _ => DutyOutcome::Expired,
            },
        }
    }

    fn write(&mut self, entry: Option<(DutyEntry, i64)>) {
        self.data.revision += 1;
        let revision = self.data.revision;
        self.data.entry = entry.map(|(entry, lease)| (DutyEntry { revision, ..entry }, lease));
        self.history.push(self.contents());
    }
}

impl DutyStore {
    pub(crate) fn contents(&self) -> DutyContents {
        let entry = self.data.entry.as_ref().map(|(entry, _)| entry.clone());
        DutyContents { era: self.era, revision: self.data.revision, entry }
    }

    /// Returns the changes after `revision`, or `None` if they are forgotten.
    pub(crate) fn changes(&self, revision: u64) -> Option<Vec<DutyContents>> {
        let later = self.history.iter().filter(|change| change.revision > revision);
        (revision >= self.compacted).then(|| later.cloned().collect())
    }
}

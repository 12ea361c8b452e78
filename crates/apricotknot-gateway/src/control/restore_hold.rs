//! Knowledge that a node keeps although a key-value service that came back from a copy lacks it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::EndpointPhase;
use apricotknot_core::fleet::FleetState;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;

use crate::protocol::RecordChange;

/// Time for which a node keeps what the service has lost, unless it is written again before.
const HOLD_TIME: Duration = Duration::from_secs(30);

/// Time for which a removed endpoint is remembered; the service comes back from a younger copy.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Maximum removed endpoints that are remembered.
const MAX_REMOVED: usize = 4_096;

/// Reports a decision on what a key-value service that came back from a copy lacks, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HoldNotice {
    /// A full reading was compared with what the node knows.
    Compared {
        /// Data centres that stay evacuated without a record.
        held_evacuations: usize,
        /// Registrations that are older than what the node knows, and ignored.
        ignored_registrations: usize,
    },
    /// The hold of an evacuation has ended, as its record was not written again.
    EvacuationEnded(DataCentreId),
}

/// A lifetime of an endpoint that has ended.
#[derive(Clone, Copy, Debug)]
struct RemovedEndpoint {
    incarnation: u64,
    removed_at: MonotonicTime,
}

/// Decides which content of a restored service is older than what the node knows.
#[derive(Debug, Default)]
pub(super) struct RestoreHold {
    /// Time at which the hold ends, after the service has come back from a copy.
    held_until: Option<MonotonicTime>,
    removed: BTreeMap<EndpointId, RemovedEndpoint>,
    /// Evacuated data centres that the service has lost.
    evacuated: BTreeSet<DataCentreId>,
    /// Notices that were not taken yet.
    notices: Vec<HoldNotice>,
}

impl RestoreHold {
    /// Begins the hold: the service has come back from a copy.
    pub(super) fn begin(&mut self, now: MonotonicTime) {
        self.held_until = Some(now + HOLD_TIME);
    }

    /// Records that an endpoint is gone.
    pub(super) fn record_removed(
        &mut self,
        endpoint: EndpointId,
        incarnation: u64,
        now: MonotonicTime,
    ) {
        self.removed.retain(|_, removed| removed.removed_at + REMOVED_RETENTION > now);
        if self.removed.len() < MAX_REMOVED {
            self.removed.insert(endpoint, RemovedEndpoint { incarnation, removed_at: now });
        }
    }

    /// Keeps a data centre evacuated although the service has lost the record of it.
    pub(super) fn hold_evacuated(&mut self, centre: DataCentreId) {
        self.evacuated.insert(centre);
    }

    /// Records that operators wrote or removed the record of an evacuated data centre.
    pub(super) fn release_evacuated(&mut self, centre: &str) {
        self.evacuated.remove(centre);
    }

    /// Removes the registrations that are older than what the node knows from a full reading.
    pub(super) fn remove_outdated(&mut self, records: &mut Vec<RecordChange>, fleet: &FleetState) {
        let before = records.len();
        records.retain(|record| match record {
            RecordChange::EndpointAnnounced(entry) => !self.is_outdated(entry, fleet),
            _ => true,
        });
        self.notices.push(HoldNotice::Compared {
            held_evacuations: self.evacuated.len(),
            ignored_registrations: before - records.len(),
        });
    }

    /// Ends the hold if its time is over; returns the data centres that it kept evacuated.
    pub(super) fn expire(&mut self, now: MonotonicTime) -> BTreeSet<DataCentreId> {
        if self.is_active(now) {
            return BTreeSet::new();
        }
        self.held_until = None;
        let ended = std::mem::take(&mut self.evacuated);
        self.notices.extend(ended.iter().cloned().map(HoldNotice::EvacuationEnded));
        ended
    }

    /// Takes the notices since the last call.
    pub(super) fn take_notices(&mut self) -> Vec<HoldNotice> {
        std::mem::take(&mut self.notices)
    }
}

impl RestoreHold {
    /// Returns whether the service came back from a copy recently.
    pub(super) fn is_active(&self, now: MonotonicTime) -> bool {
        self.held_until.is_some_and(|held_until| now < held_until)
    }

    /// Returns whether a registration is older than what the node knows of the endpoint: of an
    /// earlier start, from before it was removed, or from before it said that it leaves.
    fn is_outdated(&self, entry: &EndpointEntry, fleet: &FleetState) -> bool {
        let removed = self.removed.get(&entry.id);
        if removed.is_some_and(|removed| entry.incarnation <= removed.incarnation) {
            return true;
        }
        let Some(known) = fleet.endpoint(&entry.id).map(|state| &state.entry) else {
            return false;
        };
        let has_left = known.phase == EndpointPhase::Leaving && entry.phase == EndpointPhase::Ready;
        entry.incarnation < known.incarnation
            || (entry.incarnation == known.incarnation && has_left)
    }
}

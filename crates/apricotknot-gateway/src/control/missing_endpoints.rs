//! Endpoints whose records are gone after an outage of the key-value service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;

/// Time after an outage of the service within which endpoints announce themselves again.
const REANNOUNCE_GRACE: Duration = Duration::from_millis(2_200);

/// Reports a decision on an endpoint without a record, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MissingNotice {
    /// The endpoint is kept, as its record may have expired in the outage.
    Kept(EndpointId),
    /// The endpoint is removed, as it has not announced itself again in time.
    NotBack(EndpointId),
}

/// Keeps endpoints without a record until they had the time to announce themselves again.
#[derive(Debug, Default)]
pub(super) struct MissingEndpoints {
    /// Time at which the service came back.
    returned_at: Option<MonotonicTime>,
    /// Endpoints without a record, with the time until which they are kept.
    kept_until: BTreeMap<EndpointId, MonotonicTime>,
    /// Endpoints that have written their records since the service came back.
    ///
    /// These records cannot expire within the grace time, so one that goes was removed.
    announced: BTreeSet<EndpointId>,
    /// Notices that were not taken yet.
    notices: Vec<MissingNotice>,
}

impl MissingEndpoints {
    /// Begins a grace time, also for the endpoints that are kept already: the service has come back.
    pub(super) fn begin(&mut self, now: MonotonicTime) {
        self.returned_at = Some(now);
        self.announced.clear();
        for end in self.kept_until.values_mut() {
            *end = now + REANNOUNCE_GRACE;
        }
    }

    /// Records that the service holds a record of an endpoint.
    pub(super) fn record_present(&mut self, endpoint: &str) {
        self.kept_until.remove(endpoint);
    }

    /// Records that an endpoint wrote its record while the service was watched.
    ///
    /// The first changes after an outage may be older than the outage, so they do not count.
    pub(super) fn record_written(&mut self, endpoint: &EndpointId, now: MonotonicTime) {
        let is_later = self.returned_at.is_some_and(|returned_at| returned_at < now);
        if is_later && self.grace_end(now).is_some() {
            self.announced.insert(EndpointId::clone(endpoint));
        }
    }

    /// Records that the record of an endpoint is gone; returns whether the endpoint is kept.
    pub(super) fn keep(&mut self, endpoint: &EndpointId, now: MonotonicTime) -> bool {
        let Some(end) = self.grace_end(now) else {
            return false;
        };
        if self.announced.contains(endpoint) {
            return false;
        }
        self.kept_until.entry(EndpointId::clone(endpoint)).or_insert_with(|| {
            self.notices.push(MissingNotice::Kept(EndpointId::clone(endpoint)));
            end
        });
        true
    }

    /// Takes the endpoints that have not announced themselves again in time.
    pub(super) fn take_expired(&mut self, now: MonotonicTime) -> Vec<EndpointId> {
        let expired = self.kept_until.extract_if(.., |_, end| *end <= now);
        let expired: Vec<EndpointId> = expired.map(|(endpoint, _)| endpoint).collect();
        self.notices.extend(expired.iter().cloned().map(MissingNotice::NotBack));
        expired
    }

    /// Takes the notices since the last call.
    pub(super) fn take_notices(&mut self) -> Vec<MissingNotice> {
        std::mem::take(&mut self.notices)
    }
}

impl MissingEndpoints {
    /// Returns the end of the grace time, or `None` if it does not lie after `now`.
    fn grace_end(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let end = self.returned_at.map(|returned_at| returned_at + REANNOUNCE_GRACE);
        end.filter(|end| now < *end)
    }
}

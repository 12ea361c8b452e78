//! Explains why a request has to wait: the scarce resource and the accounts that use it.

use super::PoolScheduler;
use super::ShortageRecord;
use super::scheduled_endpoint::ScheduledEndpoint;
use super::scheduler::QueuedRequest;
use crate::types::AccountId;
use crate::types::RequestId;

/// Largest number of accounts named in a shortage.
const MAX_NAMED_HOLDERS: usize = 3;

impl PoolScheduler {
    /// Records the shortage that made a request wait, unless one is recorded already.
    pub(super) fn record_shortage(&mut self, request: RequestId) {
        let Some(queued) = self.requests.get(&request) else {
            return;
        };
        if queued.shortage.is_some() {
            return;
        }
        let shortage = self.find_shortage(queued);
        if let Some(queued) = self.requests.get_mut(&request) {
            queued.shortage = shortage;
        }
    }
}

impl PoolScheduler {
    /// Returns the shortage at the usable endpoint with the most free memory, or `None` if the
    /// request fits at every usable endpoint.
    pub(super) fn find_shortage(&self, queued: &QueuedRequest) -> Option<ShortageRecord> {
        let (demand, rule) = (queued.demand(), self.reserve_rule());
        let endpoints = self.usable_endpoints(&queued.submission.excluded);
        let short = endpoints.filter_map(|(endpoint, scheduled)| {
            let resource = scheduled.check_fit(&demand, rule).err()?;
            let free = scheduled.limit().minus(scheduled.used()).memory_tokens;
            Some((free, endpoint, scheduled, resource))
        });
        let (free_tokens, endpoint, scheduled, resource) = short.max_by_key(|(free, ..)| *free)?;
        Some(ShortageRecord {
            endpoint: endpoint.clone(),
            resource,
            needed_tokens: demand.memory_tokens,
            free_tokens,
            holders: scheduled.top_holders(resource, MAX_NAMED_HOLDERS),
            kept_for: self.claimant_account(scheduled, queued),
        })
    }

    fn claimant_account(
        &self,
        scheduled: &ScheduledEndpoint,
        queued: &QueuedRequest,
    ) -> Option<AccountId> {
        let claim =
            scheduled.claim.filter(|claim| claim.request != queued.submission.profile.id)?;
        let claimant = self.requests.get(&claim.request)?;
        Some(claimant.submission.profile.account.clone())
    }
}

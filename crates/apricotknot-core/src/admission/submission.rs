//! Submission of requests: limits, queueing, withdrawal and refusal.

use std::time::Duration;

use super::DecisionOutcome;
use super::DecisionRecord;
use super::PoolAction;
use super::PoolScheduler;
use super::RefusalNotice;
use super::RefusalReason;
use super::RequestSubmission;
use super::grant_rate::MIN_RETRY_AFTER;
use super::queue::ArrivalNumber;
use super::scheduled_endpoint::ScheduledEndpoint;
use super::scheduler::GrantPhase;
use super::scheduler::QueuedRequest;
use super::timers::TimerKey;
use crate::types::LengthClass;
use crate::types::MonotonicTime;
use crate::types::RequestId;
use crate::types::TokenCount;

impl PoolScheduler {
    /// Grants, queues or refuses a submitted request; returns whether another waiting request might
    /// now be granted.
    ///
    /// A submission replaces a queued one of the same request with another attempt id.
    pub(super) fn submit(
        &mut self,
        submission: RequestSubmission,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        if self.answer_repeat(&submission, actions) {
            return false;
        }
        let is_replaced = self.requests.contains_key(&submission.profile.id);
        self.withdraw(submission.profile.id, now);
        let queued = self.queued_request(submission, now);
        match self.admit(&queued, now) {
            Ok(()) => self.enqueue(queued, now, actions),
            Err((reason, retry_after)) => {
                self.refuse(queued, reason, retry_after, now, actions);
            },
        }
        is_replaced
    }

    fn enqueue(
        &mut self,
        queued: QueuedRequest,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) {
        let profile = &queued.submission.profile;
        let (request, class) = (profile.id, queued.class);
        self.next_number += 1;
        self.queued_tokens = self.queued_tokens.saturating_add(queued.memory_tokens);
        self.activate_class(class);
        self.queues[class as usize].push(&profile.account, queued.number, request);
        self.timers.set(queued.latest_start, TimerKey::Request(request));
        self.requests.insert(request, queued);
        self.try_new_request(request, class, now, actions);
    }

    /// Removes and returns all queued requests in the order of arrival, so that they can be
    /// submitted to another owner.
    pub fn take_queued(&mut self) -> Vec<RequestSubmission> {
        let mut requests: Vec<(ArrivalNumber, RequestId)> =
            self.requests.iter().map(|(request, queued)| (queued.number, *request)).collect();
        requests.sort_unstable();
        let mut submissions = Vec::new();
        for (_, request) in requests {
            let Some(queued) = self.dequeue(request) else {
                continue;
            };
            let account = &queued.submission.profile.account;
            self.accounts.release(account, queued.memory_tokens, 0);
            submissions.push(queued.submission);
        }
        submissions
    }

    /// Removes a queued request whose caller disconnected.
    pub(super) fn withdraw(&mut self, request: RequestId, now: MonotonicTime) {
        let Some(queued) = self.dequeue(request) else {
            return;
        };
        let account = &queued.submission.profile.account;
        self.accounts.release(account, queued.memory_tokens, 0);
        self.record_decision(&queued, DecisionOutcome::Withdrawn, now);
    }

    /// Refuses a queued request that can no longer end by its deadline or has waited too long.
    pub(super) fn expire_request(
        &mut self,
        request: RequestId,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(mut queued) = self.dequeue(request) else {
            return;
        };
        queued.shortage = self.find_shortage(&queued).or(queued.shortage);
        let account = &queued.submission.profile.account;
        self.accounts.release(account, queued.memory_tokens, 0);
        let (reason, retry_after) = (RefusalReason::DeadlineUnreachable, self.retry_after(now));
        self.refuse(queued, reason, retry_after, now, actions);
    }

    /// Removes a request with its timer, its capacity claim and its place in the queue.
    fn dequeue(&mut self, request: RequestId) -> Option<QueuedRequest> {
        let queued = self.remove_request(request)?;
        let account = &queued.submission.profile.account;
        self.queues[queued.class as usize].remove(account, queued.number);
        Some(queued)
    }

    /// Removes a request with its timer and its capacity claim; the caller removes it from its
    /// queue.
    pub(super) fn remove_request(&mut self, request: RequestId) -> Option<QueuedRequest> {
        let queued = self.requests.remove(&request)?;
        self.queued_tokens = self.queued_tokens.saturating_sub(queued.memory_tokens);
        let class = queued.class as usize;
        self.timers.clear(queued.latest_start, TimerKey::Request(request));
        if self.claims[class].as_ref().is_some_and(|(claimant, _)| *claimant == request)
            && let Some((_, endpoint)) = self.claims[class].take()
            && let Some(scheduled) = self.endpoint_for_increase(&endpoint)
        {
            scheduled.claim = None;
        }
        Some(queued)
    }

    /// Returns whether a submission repeats a known attempt; sends its grant again if the attempt
    /// has not started.
    fn answer_repeat(&self, submission: &RequestSubmission, actions: &mut Vec<PoolAction>) -> bool {
        if let Some(grant) = self.grants.get(&submission.attempt) {
            if grant.phase == GrantPhase::Granted {
                actions.push(PoolAction::Grant(Box::new(grant.ticket.clone())));
            }
            return true;
        }
        let queued = self.requests.get(&submission.profile.id);
        queued.is_some_and(|queued| queued.submission.attempt == submission.attempt)
    }

    /// Checks a new request against the capacity of the endpoints, its deadline, the length of the
    /// queue and the limits of its account, and charges it to the account.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal and the time after which to retry.
    fn admit(
        &mut self,
        request: &QueuedRequest,
        now: MonotonicTime,
    ) -> Result<(), (RefusalReason, Duration)> {
        let submission = &request.submission;
        let profile = &submission.profile;
        let needed = request.memory_tokens;
        let present = self.endpoints.values().filter(|scheduled| !scheduled.is_removed);
        let largest = largest_memory(present);
        if largest.is_some_and(|largest| needed > largest) {
            let largest = largest.unwrap_or_default();
            return Err((RefusalReason::TooLarge { needed, largest }, Duration::ZERO));
        }
        let usable = self.usable_endpoints(&submission.excluded).map(|(_, scheduled)| scheduled);
        if largest_memory(usable).is_none_or(|largest| needed > largest) {
            return Err((RefusalReason::NoEndpoint, MIN_RETRY_AFTER));
        }
        if request.latest_start < now {
            return Err((RefusalReason::DeadlineUnreachable, self.retry_after(now)));
        }
        let (total, limit) = (self.requests.len(), self.settings.spec.max_queued);
        let queued =
            self.queues.iter().map(|queue| queue.account_len(&profile.account)).sum::<usize>();
        let free_places = (limit as usize).saturating_sub(total);
        if queued >= free_places {
            let queued = u32::try_from(total).unwrap_or(u32::MAX);
            return Err((RefusalReason::QueueFull { queued, limit }, self.retry_after(now)));
        }
        self.accounts.admit(&profile.account, needed, now)
    }

    fn refuse(
        &mut self,
        queued: QueuedRequest,
        reason: RefusalReason,
        retry_after: Duration,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) {
        self.record_decision(&queued, DecisionOutcome::Refused(reason.clone()), now);
        let submission = queued.submission;
        actions.push(PoolAction::Refuse(Box::new(RefusalNotice {
            request: submission.profile.id,
            attempt: submission.attempt,
            node: submission.node,
            reason,
            retry_after,
            shortage: queued.shortage,
        })));
    }

    /// Records a decision, so that it can be explained later.
    pub(super) fn record_decision(
        &mut self,
        queued: &QueuedRequest,
        outcome: DecisionOutcome,
        now: MonotonicTime,
    ) {
        let profile = &queued.submission.profile;
        self.decisions.push(DecisionRecord {
            request: profile.id,
            account: profile.account.clone(),
            class: queued.class,
            memory_tokens: queued.memory_tokens,
            decided_at: now,
            queued_for: now.saturating_sub(queued.arrived_at),
            outcome,
            shortage: queued.shortage.clone(),
        });
    }

    /// Advances the start tag of an idle class to the virtual time, so that a class gains no credit
    /// while it is idle.
    fn activate_class(&mut self, class: LengthClass) {
        if self.queues[class as usize].is_empty() {
            let service = &mut self.class_start_tags[class as usize];
            *service = (*service).max(self.class_virtual_time);
        }
    }
}

impl PoolScheduler {
    fn queued_request(&self, submission: RequestSubmission, now: MonotonicTime) -> QueuedRequest {
        QueuedRequest {
            class: submission.profile.length_class(),
            memory_tokens: self.needed_tokens(&submission),
            number: self.next_number,
            arrived_at: now,
            latest_start: self.latest_start(&submission, now),
            shortage: None,
            tried_version: None,
            submission,
        }
    }

    /// Returns the memory that a request may need, in tokens: its corrected prompt length and its
    /// longest output.
    fn needed_tokens(&self, submission: &RequestSubmission) -> TokenCount {
        let profile = &submission.profile;
        let prompt = self.accounts.corrected(&profile.account, profile.prompt_tokens);
        prompt.saturating_add(profile.max_output_tokens)
    }

    /// Returns the time until the currently waiting requests are expected to be granted.
    fn retry_after(&self, now: MonotonicTime) -> Duration {
        self.grant_rate.retry_after(self.queued_tokens, now)
    }

    /// Returns the time at which a request must leave the queue: its deadline less its prefill
    /// time, or the end of the queue timeout if that is earlier.
    fn latest_start(&self, submission: &RequestSubmission, now: MonotonicTime) -> MonotonicTime {
        let profile = &submission.profile;
        let needed = self.settings.prefill_time(profile.prompt_tokens);
        let Some(latest) = profile.deadline.checked_sub(needed) else {
            return Duration::ZERO;
        };
        latest.min(now + self.settings.queue_timeout())
    }
}

fn largest_memory<'a>(
    endpoints: impl Iterator<Item = &'a ScheduledEndpoint>,
) -> Option<TokenCount> {
    endpoints.map(|scheduled| scheduled.capacity.warm.memory_tokens).max()
}

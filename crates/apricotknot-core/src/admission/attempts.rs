//! Progress of granted attempts: start, first token, end and release of memory.

use std::time::Duration;

use super::PoolAction;
use super::PoolScheduler;
use super::TokenUsage;
use super::scheduler::GrantPhase;
use super::scheduler::GrantState;
use super::timers::TimerKey;
use crate::types::AttemptId;
use crate::types::AttemptOutcome;
use crate::types::EndpointId;
use crate::types::ExecutionCertainty;
use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::RequestId;

/// Largest number of times that the pause between two requests for confirmation doubles.
const MAX_CONFIRM_DOUBLINGS: u32 = 4;

impl PoolScheduler {
    /// Handles all due timers; returns whether a waiting request might now be granted.
    pub(super) fn run_timers(&mut self, now: MonotonicTime, actions: &mut Vec<PoolAction>) -> bool {
        let mut is_changed = false;
        while let Some(key) = self.timers.pop_due(now) {
            match key {
                TimerKey::Request(request) => {
                    self.expire_request(request, now, actions);
                    is_changed = true;
                },
                TimerKey::Attempt(attempt) => self.expire_attempt(attempt, now, actions),
                TimerKey::Reconnect(endpoint) => {
                    is_changed |= self.end_unreachable_pause(&endpoint, now)
                },
                TimerKey::ReportGap(endpoint) => self.check_report_gap(endpoint, now),
            }
        }
        is_changed
    }

    /// Records that an attempt was sent; returns `false`, since this frees no capacity.
    pub(super) fn handle_start(&mut self, attempt: AttemptId) -> bool {
        let grace = self.settings.start_timeout;
        if let Some(grant) = self.grants.get_mut(&attempt)
            && grant.phase == GrantPhase::Granted
        {
            grant.phase = GrantPhase::Running;
            let due = grant.deadline + grace;
            self.set_due(attempt, due);
        }
        false
    }

    /// Records the first token of an attempt; returns whether the free capacity of its endpoint may
    /// have increased.
    ///
    /// An answer granted before the last reset to cold proves nothing about the endpoint.
    pub(super) fn handle_first_token(
        &mut self,
        attempt: AttemptId,
        after: Duration,
        now: MonotonicTime,
    ) -> bool {
        let Some(grant) = self.grants.get_mut(&attempt) else {
            return false;
        };
        let endpoint = grant.ticket.endpoint.clone();
        let (class, prompt_tokens) = (grant.class, grant.prompt_tokens);
        let granted_at = grant.ticket.granted_at;
        let tokens = std::mem::take(&mut grant.prefill_tokens);
        let Some(scheduled) = self.endpoints.get_mut(&endpoint) else {
            return false;
        };
        let timely = self.settings.prefill_time(scheduled.prefill_ahead(class).max(prompt_tokens));
        scheduled.finish_prefill(class, tokens);
        scheduled.warmup.record_seen(now);
        if granted_at < scheduled.warmup.cold_since() {
            return false;
        }
        if after <= timely + self.settings.first_token_slack {
            return self.record_timely(&endpoint);
        }
        if scheduled.warmup.record_slow() >= self.settings.max_slow_answers {
            self.reset_to_cold(&endpoint, now);
        }
        false
    }

    fn record_timely(&mut self, endpoint: &EndpointId) -> bool {
        let Some(scheduled) = self.endpoints.get_mut(endpoint) else {
            return false;
        };
        let was_cold = scheduled.warmup.is_cold();
        scheduled.warmup.raise_limit(&scheduled.capacity);
        if was_cold {
            self.endpoint_for_increase(endpoint);
        }
        was_cold
    }

    /// Ends an attempt: its account is charged for the tokens used and stops counting the request.
    ///
    /// The memory at the endpoint stays counted until it is confirmed free. A lost attempt also
    /// resets the endpoint to its cold budget.
    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        usage: Option<TokenUsage>,
        now: MonotonicTime,
    ) {
        let Some(grant) = self.grants.get_mut(&attempt) else {
            return;
        };
        let endpoint = grant.ticket.endpoint.clone();
        let class = grant.class;
        let tokens = std::mem::take(&mut grant.prefill_tokens);
        if grant.is_active {
            grant.is_active = false;
            if let Some(usage) = usage {
                let (account, estimated) = (&grant.ticket.account, grant.prompt_tokens);
                self.accounts.record_prompt(account, estimated, usage.prompt_tokens);
            }
            let used = tokens_used(grant, outcome, usage);
            let charged = grant.ticket.memory_tokens;
            self.accounts.release(&grant.ticket.account, charged, used);
        }
        if let Some(scheduled) = self.endpoints.get_mut(&endpoint) {
            scheduled.finish_prefill(class, tokens);
        }
        if outcome == AttemptOutcome::Lost {
            self.reset_to_cold(&endpoint, now);
        }
    }

    /// Releases the memory of an ended attempt, or requests a confirmation from its endpoint first.
    pub(super) fn resolve_attempt(
        &mut self,
        attempt: AttemptId,
        confirmed_free: bool,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) {
        if confirmed_free {
            self.confirm_free(attempt);
        } else {
            self.request_confirmation(attempt, now, actions);
        }
    }

    /// Releases the memory of an attempt that its endpoint no longer holds.
    pub(super) fn confirm_free(&mut self, attempt: AttemptId) {
        let Some(grant) = self.grants.remove(&attempt) else {
            return;
        };
        self.freed_attempts.push(attempt);
        self.timers.clear(grant.due_at, TimerKey::Attempt(attempt));
        let ticket = &grant.ticket;
        if grant.is_active {
            self.accounts.release(&ticket.account, ticket.memory_tokens, 0);
        }
        let Some(scheduled) = self.endpoint_for_increase(&ticket.endpoint) else {
            return;
        };
        scheduled.finish_prefill(grant.class, grant.prefill_tokens);
        scheduled.release(attempt, &ticket.account, grant.class, ticket.memory_tokens);
        if scheduled.is_removed && scheduled.attempts.is_empty() {
            self.endpoints.remove(&ticket.endpoint);
        }
    }

    /// Withdraws the queued requests of a stopped node and cancels its attempts.
    pub(super) fn remove_node(
        &mut self,
        node: &NodeId,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) {
        let queued = self.requests.iter().filter(|(_, queued)| queued.submission.node == *node);
        let mut queued: Vec<RequestId> = queued.map(|(request, _)| *request).collect();
        queued.sort_unstable();
        for request in queued {
            self.withdraw(request, now);
        }
        let held = self.grants.values().filter(|grant| grant.ticket.node == *node);
        let mut held: Vec<AttemptId> = held.map(|grant| grant.ticket.attempt).collect();
        held.sort_unstable();
        for attempt in held {
            self.end_attempt(attempt, AttemptOutcome::Cancelled, None, now);
            self.request_confirmation(attempt, now, actions);
        }
    }

    fn expire_attempt(
        &mut self,
        attempt: AttemptId,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(grant) = self.grants.get(&attempt) else {
            return;
        };
        let is_removed =
            self.endpoints.get(&grant.ticket.endpoint).is_none_or(|scheduled| scheduled.is_removed);
        let longest = Duration::from_millis(self.settings.spec.request_timeout_ms);
        if is_removed && now >= grant.deadline + longest {
            self.confirm_free(attempt);
            return;
        }
        self.end_attempt(attempt, AttemptOutcome::Cancelled, None, now);
        self.request_confirmation(attempt, now, actions);
    }

    fn request_confirmation(
        &mut self,
        attempt: AttemptId,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(grant) = self.grants.get_mut(&attempt) else {
            return;
        };
        let requests = match grant.phase {
            GrantPhase::Confirming { requests } => requests,
            GrantPhase::Granted | GrantPhase::Running => 0,
        };
        grant.phase = GrantPhase::Confirming { requests: requests.saturating_add(1) };
        let endpoint = grant.ticket.endpoint.clone();
        let pause = self.settings.confirm_interval * (1 << requests.min(MAX_CONFIRM_DOUBLINGS));
        self.set_due(attempt, now + pause);
        actions.push(PoolAction::CancelAttempt { attempt, endpoint });
    }

    fn set_due(&mut self, attempt: AttemptId, due: MonotonicTime) {
        if let Some(grant) = self.grants.get_mut(&attempt) {
            self.timers.clear(grant.due_at, TimerKey::Attempt(attempt));
            grant.due_at = due;
            self.timers.set(due, TimerKey::Attempt(attempt));
        }
    }
}

fn tokens_used(grant: &GrantState, outcome: AttemptOutcome, usage: Option<TokenUsage>) -> u64 {
    if let Some(usage) = usage {
        return usage.prompt_tokens.saturating_add(usage.completion_tokens);
    }
    match outcome.certainty() {
        ExecutionCertainty::No => 0,
        ExecutionCertainty::Unknown | ExecutionCertainty::Yes => grant.ticket.memory_tokens,
    }
}

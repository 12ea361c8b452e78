//! End of attempts: whether the request is retried and which outcome its caller receives.

use std::time::Duration;

use super::AttemptState;
use super::CallerError;
use super::CallerErrorKind;
use super::FinalOutcome;
use super::LossCause;
use super::RequestAction;
use super::RequestTracker;
use super::tracker::CurrentAttempt;
use super::tracker::RetryContext;
use crate::types::AttemptOutcome;

/// Maximum number of attempts of one request that are sent.
const MAX_ATTEMPTS: u32 = 3;

/// Maximum number of grants that one request may use, whether its attempts are sent or not.
const MAX_GRANTS: u32 = 8;

/// Number of endpoint crashes after which a request is not retried, because it may cause them.
const MAX_CRASHES: u32 = 2;

/// Maximum delay before the first retry; it doubles with each further retry.
const BASE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Jitter at which a retry waits for the maximum delay, in per mille.
const FULL_JITTER_PERMILLE: u32 = 1_000;

impl RequestTracker {
    /// Ends an attempt that the endpoint did not run.
    pub(super) fn end_unsent(
        &mut self,
        outcome: AttemptOutcome,
        context: RetryContext<'_>,
    ) -> Vec<RequestAction> {
        let Some(current) = self.current.take() else {
            return Vec::new();
        };
        let kind = match outcome {
            AttemptOutcome::Refused => CallerErrorKind::Overloaded,
            _ => CallerErrorKind::NoEndpoint,
        };
        let uses_budget = current.sent;
        let end = self.end_attempt(current, outcome);
        self.retry_or_finish(end, true, uses_budget, kind, context)
    }

    /// Ends an attempt whose endpoint crashed, and reports the crash if the attempt was sent.
    pub(super) fn end_crashed(&mut self, context: RetryContext<'_>) -> Vec<RequestAction> {
        let Some(current) = self.current.take() else {
            return Vec::new();
        };
        if current.state == AttemptState::NotSent {
            self.current = Some(current);
            return self.end_unsent(AttemptOutcome::NotSent, context);
        }
        self.exclusive = true;
        self.crashes += 1;
        let report = RequestAction::ReportCrash {
            attempt: current.id,
            endpoint: current.endpoint.clone(),
            boot: current.boot.clone(),
        };
        let end = self.end_attempt(current, AttemptOutcome::Lost);
        let mut actions = vec![report];
        let kind = CallerErrorKind::EndpointLost;
        actions.extend(self.retry_or_finish(end, false, true, kind, context));
        actions
    }

    /// Ends an attempt that failed at its endpoint.
    ///
    /// A failure without a checked head may belong to another attempt and counts as a lost
    /// connection.
    pub(super) fn end_failed(&mut self, context: RetryContext<'_>) -> Vec<RequestAction> {
        if !self.current.as_ref().is_some_and(|current| current.head_checked) {
            return self.handle_connection_loss(LossCause::Connection, context);
        }
        let Some(current) = self.current.take() else {
            return Vec::new();
        };
        let end = self.end_attempt(current, AttemptOutcome::Failed);
        self.retry_or_finish(end, false, true, CallerErrorKind::EndpointFailed, context)
    }

    /// Cancels an attempt whose answer cannot be read to its end, and excludes its endpoint.
    pub(super) fn abandon_attempt(&mut self, context: RetryContext<'_>) -> Vec<RequestAction> {
        let Some(current) = self.current.take() else {
            return Vec::new();
        };
        self.executed = self.executed.max(current.state.certainty());
        let unsent = current.state == AttemptState::NotSent;
        self.excluded.push(current.endpoint.clone());
        let cancel =
            RequestAction::CancelAttempt { attempt: current.id, endpoint: current.endpoint };
        self.retry_or_finish(cancel, unsent, true, CallerErrorKind::EndpointLost, context)
    }

    /// Records how an attempt ended; excludes its endpoint from further attempts if it was sent.
    fn end_attempt(&mut self, current: CurrentAttempt, outcome: AttemptOutcome) -> RequestAction {
        self.executed = self.executed.max(outcome.certainty());
        if current.sent && !self.excluded.contains(&current.endpoint) {
            self.excluded.push(current.endpoint.clone());
        }
        RequestAction::EndAttempt { attempt: current.id, endpoint: current.endpoint, outcome }
    }

    /// Requests another grant if the request may be retried, or ends the request with `kind`.
    ///
    /// A retry needs that no chunk was forwarded, that the request did not run or may run twice,
    /// that no limit is reached and that the deadline allows the delay. If `uses_budget` is set,
    /// it also spends retry budget.
    fn retry_or_finish(
        &mut self,
        end: RequestAction,
        did_not_run: bool,
        uses_budget: bool,
        kind: CallerErrorKind,
        context: RetryContext<'_>,
    ) -> Vec<RequestAction> {
        let delay = self.retry_delay(context.jitter_permille);
        let is_safe = self.next_chunk == 0 && (did_not_run || self.policy.repeatable);
        let is_within_limits =
            self.attempts < MAX_ATTEMPTS && self.grants < MAX_GRANTS && self.crashes < MAX_CRASHES;
        let is_in_time = context.now + delay < self.policy.deadline;
        let mut actions = vec![end];
        if is_safe
            && is_within_limits
            && is_in_time
            && (!uses_budget || context.budget.try_spend_retry())
        {
            actions.push(self.request_grant(delay));
            return actions;
        }
        let kind = if context.now >= self.policy.deadline {
            CallerErrorKind::DeadlineExceeded
        } else {
            kind
        };
        actions.extend(self.finish(Some(kind)));
        actions
    }

    /// Ends the request. This is the only place that decides which outcome its caller receives.
    pub(super) fn finish(&mut self, kind: Option<CallerErrorKind>) -> Vec<RequestAction> {
        let mut actions = Vec::new();
        if let Some(current) = self.current.take() {
            self.executed = self.executed.max(current.state.certainty());
            let (attempt, endpoint) = (current.id, current.endpoint);
            actions.push(match current.state {
                AttemptState::MayHaveRun => RequestAction::CancelAttempt { attempt, endpoint },
                AttemptState::NotSent => {
                    let outcome = AttemptOutcome::NotSent;
                    RequestAction::EndAttempt { attempt, endpoint, outcome }
                },
                AttemptState::Answered => {
                    let outcome = AttemptOutcome::Answered;
                    RequestAction::EndAttempt { attempt, endpoint, outcome }
                },
            });
        }
        self.finished = true;
        let partly_forwarded = kind.is_some() && self.next_chunk > 0;
        let error = kind.map(|kind| {
            let is_stream_broken = kind == CallerErrorKind::EndpointLost && partly_forwarded;
            let kind = if is_stream_broken { CallerErrorKind::StreamBroken } else { kind };
            CallerError::new(kind, self.executed).retry_after(self.retry_after)
        });
        actions.push(RequestAction::Finish(FinalOutcome {
            executed: self.executed,
            error,
            partly_forwarded,
            attempts: self.attempts,
        }));
        actions
    }
}

impl RequestTracker {
    /// Returns the action that requests the next grant after `delay`.
    pub(super) fn request_grant(&self, delay: Duration) -> RequestAction {
        RequestAction::RequestGrant {
            delay,
            excluding: self.excluded.clone(),
            exclusive: self.exclusive,
        }
    }

    /// Returns the exponential delay before the next retry, scaled by the jitter.
    fn retry_delay(&self, jitter_permille: u32) -> Duration {
        let doublings = self.attempts.saturating_sub(1).min(MAX_ATTEMPTS);
        let max_delay = BASE_RETRY_DELAY * 2_u32.pow(doublings);
        max_delay * jitter_permille.min(FULL_JITTER_PERMILLE) / FULL_JITTER_PERMILLE
    }
}

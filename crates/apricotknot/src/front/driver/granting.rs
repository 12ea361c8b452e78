//! Requests a grant for the next attempt.

use std::time::Duration;

use apricotknot_core::admission::GrantTicket;
use apricotknot_core::admission::RefusalNotice;
use apricotknot_core::admission::RefusalReason;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::outcome::CallerErrorKind;
use apricotknot_core::outcome::RequestEvent;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::PoolId;

use super::OpenAttempt;
use super::RequestDriver;
use crate::engine::EngineClient;

impl<E: EngineClient> RequestDriver<E> {
    /// Requests a grant after `delay`, and feeds the decision to the tracker.
    pub(super) async fn request_grant(&mut self, delay: Duration, excluded: Vec<EndpointId>) {
        if !delay.is_zero() {
            let pause = tokio::time::sleep(delay);
            if let Err(event) = self.unless_interrupted(pause).await {
                return self.feed(event);
            }
        }
        let Some(pool) = self.choose_pool() else {
            return self.feed(RequestEvent::GrantRefused {
                kind: CallerErrorKind::NoEndpoint,
                retry_after: None,
            });
        };
        let requested_at = self.now();
        let submission = RequestSubmission {
            profile: self.profile.clone(),
            attempt: rand::random(),
            node: self.context.shared.identity.name.clone(),
            excluded,
        };
        let mut pending_grant = self.context.shared.control.submit(pool, submission);
        let size = self.profile.memory_tokens();
        let mut grant_wait = std::mem::take(&mut self.grant_wait);
        let answer = grant_wait.wait(size, pending_grant.answer());
        match self.unless_interrupted(answer).await {
            Err(event) => self.feed(event),
            Ok(Err(gave_way)) => self.feed(gave_way.into()),
            Ok(Ok(Some(Ok(ticket)))) => self.accept_grant(ticket, requested_at),
            Ok(Ok(Some(Err(notice)))) => self.feed(refusal_event(&notice)),
            Ok(Ok(None)) => self.feed(RequestEvent::GrantRefused {
                kind: CallerErrorKind::NodeStopping,
                retry_after: None,
            }),
        }
    }

    /// Returns the pool of the request's service that its id selects; none if there is no pool.
    pub(super) fn choose_pool(&self) -> Option<PoolId> {
        let view = self.context.shared.control.view();
        let pools = view.pools(&self.profile.service);
        let count = u128::try_from(pools.len()).ok().filter(|count| *count > 0)?;
        let index = usize::try_from(self.profile.id % count).ok()?;
        pools.get(index).cloned()
    }

    /// Opens the attempt that `ticket` grants.
    pub(super) fn accept_grant(&mut self, ticket: GrantTicket, requested_at: MonotonicTime) {
        // The owner of the pool decided no earlier than `requested_at + queued_for`, so the grant
        // is not used after it has expired at the owner.
        let send_before = requested_at + ticket.queued_for + ticket.start_within;
        let attempt = ticket.attempt;
        let endpoint = ticket.endpoint.clone();
        self.open = Some(OpenAttempt {
            ticket,
            send_before,
            sent_at: None,
            reader: None,
            has_first_token: false,
        });
        self.feed(RequestEvent::Granted { attempt, endpoint });
    }
}

/// Maps a refusal to the event that the tracker handles.
fn refusal_event(notice: &RefusalNotice) -> RequestEvent {
    let kind = match &notice.reason {
        RefusalReason::Quarantined => CallerErrorKind::Quarantined,
        RefusalReason::TooLarge { .. } => CallerErrorKind::PromptTooLarge,
        RefusalReason::NoEndpoint => CallerErrorKind::NoEndpoint,
        reason if reason.is_account_limit() => CallerErrorKind::AccountLimit,
        _ => CallerErrorKind::Overloaded,
    };
    RequestEvent::GrantRefused { kind, retry_after: Some(notice.retry_after) }
}

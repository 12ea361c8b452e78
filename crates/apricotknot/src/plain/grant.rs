//! The grant that a call's present attempt holds.

use apricotknot_core::admission::GrantTicket;
use apricotknot_core::admission::RefusalNotice;
use apricotknot_core::admission::RefusalReason;
use apricotknot_core::outcome::CallerErrorKind;
use apricotknot_core::outcome::RequestEvent;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::MonotonicTime;

use crate::control::AttemptReport;

/// Holds a grant, and the moment from which it must not be used.
#[derive(Debug)]
pub(super) struct OpenGrant {
    pub(super) ticket: GrantTicket,
    pub(super) send_before: MonotonicTime,
}

impl OpenGrant {
    /// Returns the report of the attempt's end.
    ///
    /// A plain service holds nothing for a call whose connection is closed.
    pub(super) fn into_report(self, outcome: AttemptOutcome) -> AttemptReport {
        AttemptReport {
            pool: self.ticket.pool,
            attempt: self.ticket.attempt,
            outcome,
            confirmed_free: true,
            usage: None,
        }
    }
}

/// Returns what the tracker is told when no grant is made.
pub(super) fn refusal_event(notice: &RefusalNotice) -> RequestEvent {
    let kind = match &notice.reason {
        RefusalReason::NoEndpoint => CallerErrorKind::NoEndpoint,
        reason if reason.is_account_limit() => CallerErrorKind::AccountLimit,
        _ => CallerErrorKind::Overloaded,
    };
    RequestEvent::GrantRefused { kind, retry_after: Some(notice.retry_after) }
}

//! Grant of the attempt that is in progress.

use apricotknot_core::admission::GrantTicket;
use apricotknot_core::admission::RefusalNotice;
use apricotknot_core::admission::RefusalReason;
use apricotknot_core::outcome::CallerErrorKind;
use apricotknot_core::outcome::RequestEvent;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::MonotonicTime;

use crate::control::AttemptReport;

/// Holds a grant and the moment from which it may no longer be used.
#[derive(Debug)]
pub(super) struct OpenGrant {
    pub(super) ticket: GrantTicket,
    pub(super) send_before: MonotonicTime,
}

impl OpenGrant {
    /// Returns the report that the attempt ended with `outcome`.
    ///
    /// It confirms that the endpoint is free, as a plain service holds nothing for a call whose
    /// connection is closed.
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

/// Maps a refusal to the event that the tracker handles.
pub(super) fn refusal_event(notice: &RefusalNotice) -> RequestEvent {
    let kind = match &notice.reason {
        RefusalReason::NoEndpoint => CallerErrorKind::NoEndpoint,
        reason if reason.is_account_limit() => CallerErrorKind::AccountLimit,
        _ => CallerErrorKind::Overloaded,
    };
    RequestEvent::GrantRefused { kind, retry_after: Some(notice.retry_after) }
}

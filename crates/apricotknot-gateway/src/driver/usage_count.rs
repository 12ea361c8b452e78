//! Counts calls that began to run, once each, for the usage reports.
//!
//! A stream begins to run with its first token, which arrives in its first event. Any other call
//! begins as it is sent, since the placement chooses endpoints with a free slot. What an endpoint has
//! refused without running it is not counted.

use std::time::Duration;

use actix_http::StatusCode;
use apricotknot_core::routing::CallKind;
use apricotknot_core::types::AccountId;
use apricotknot_core::types::MonotonicTime;

use super::attempt::OpenAttempt;
use super::call_driver::CallDriver;
use crate::control::ControlCommand;
use crate::protocol::CallProtocol;

impl<P: CallProtocol> CallDriver<'_, P> {
    /// Counts the call if its answer has a head that no event follows, or that is no stream.
    pub(super) fn count_answered(&mut self, open: &OpenAttempt, status: StatusCode) {
        if self.call.route.kind != CallKind::Stream {
            self.count_began(open.sent_at);
        } else if !status.is_success() {
            self.count_began(self.now());
        }
    }

    /// Counts the call if it may run although no head of an answer has arrived.
    ///
    /// A stream without an event is not known to have begun.
    pub(super) fn count_unanswered(&mut self, open: &OpenAttempt) {
        if self.call.route.kind != CallKind::Stream {
            self.count_began(open.sent_at);
        }
    }

    /// Counts the call as its first event arrives.
    pub(super) fn count_stream(&mut self, open: &OpenAttempt) {
        let began = self.now().saturating_sub(self.first_event_time());
        self.count_began(began.max(open.sent_at));
    }

    /// Returns the time from the first token of a stream to its first event, if nothing else runs.
    fn first_event_time(&self) -> Duration {
        let desired = self.context.shared.desired();
        let profile = desired.as_ref().and_then(|desired| desired.services.get(&self.call.service));
        let engine = profile.and_then(|profile| profile.engine.as_ref());
        engine.map_or(Duration::ZERO, |engine| {
            engine.event_interval(1, self.call.metadata.size.prompt)
        })
    }

    fn count_began(&mut self, began: MonotonicTime) {
        let Some(account) = self.call.account.as_ref().filter(|_| self.context.counts_usage) else {
            return;
        };
        if !std::mem::replace(&mut self.is_counted, true) {
            let account = AccountId::clone(account);
            self.context.control.send(ControlCommand::RequestBegan { account, began });
        }
    }
}

//! What a call leaves in the log, in the metrics and with the control thread.

use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::types::EndpointId;
use slog::info;
use slog::warn;

use super::attempt::OpenAttempt;
use super::call_driver::CallDriver;
use super::call_driver::CallEnd;
use crate::CallLabels;
use crate::clock::millis;
use crate::control::ControlCommand;
use crate::control::EndpointGrant;
use crate::protocol::CallProtocol;

/// Shortest time that counts as expected for an answer to begin.
const MIN_EXPECTED: Duration = Duration::from_millis(50);

impl<P: CallProtocol> CallDriver<'_, P> {
    pub(super) fn note_answered(&mut self, open: &mut OpenAttempt) {
        open.guard.set_end(AttemptEnd::Answered);
        let fingerprint = self.call.fingerprint;
        self.context.control.tell(ControlCommand::Cleared { fingerprint });
        self.count_attempt(AttemptEnd::Answered);
    }

    /// Tells the control thread that an answer began, and how soon.
    pub(super) fn note_begun(&mut self, open: &OpenAttempt) {
        let after = self.now().saturating_sub(open.sent_at).as_secs_f64();
        self.context.control.tell(ControlCommand::Writing {
            attempt: open.guard.attempt(),
            endpoint: Arc::clone(&open.endpoint),
            pace: after / open.expected.as_secs_f64().max(MIN_EXPECTED.as_secs_f64()),
        });
        let waited = self.now().saturating_sub(self.call.arrived);
        self.begun_after.get_or_insert(waited);
        self.context.metrics.answer_begin.observe(waited.as_secs_f64());
    }

    pub(super) fn note_placed(&self, grant: &EndpointGrant) {
        info!(
            self.context.logger, "call: placed";
            "request" => %self.call.terms.request_id, "endpoint" => %grant.endpoint,
            "helpers" => grant.helpers.len(), "held" => grant.held_tokens(),
            "prompt" => self.call.terms.size.prompt,
            "expected_ms" => millis(grant.expected),
            "waited_ms" => millis(self.now().saturating_sub(self.call.arrived)),
            "version" => self.call.version, "knowledge_ms" => millis(self.call.knowledge_age)
        );
    }

    pub(super) fn note_attempt(&self, endpoint: &EndpointId, end: AttemptEnd, cause: &str) {
        self.count_attempt(end);
        warn!(
            self.context.logger, "call: attempt failed";
            "request" => %self.call.terms.request_id, "endpoint" => %endpoint,
            "end" => end.name(), "cause" => cause, "sends" => self.sends,
            "after_ms" => millis(self.now().saturating_sub(self.call.arrived))
        );
    }

    fn count_attempt(&self, end: AttemptEnd) {
        let labels = CallLabels { kind: self.call.route.kind.name(), outcome: end.name() };
        self.context.metrics.attempts.get_or_create(&labels).inc();
    }

    pub(super) fn record(&self, end: &CallEnd) {
        let outcome = end.name();
        let labels = CallLabels { kind: self.call.route.kind.name(), outcome };
        self.context.metrics.calls.get_or_create(&labels).inc();
        info!(
            self.context.logger, "call: over";
            "request" => %self.call.terms.request_id, "outcome" => outcome,
            "cause" => end.cause(), "executed" => self.executed(end), "route" => %self.call.route.name,
            "account" => self.call.account.as_deref().unwrap_or_default(),
            "prompt" => self.call.terms.size.prompt, "endpoint" => self.endpoint_name(),
            "sends" => self.sends, "runs" => self.runs,
            "begun_ms" => self.begun_after.map(millis),
            "took_ms" => millis(self.now().saturating_sub(self.call.arrived)),
            "version" => self.call.version, "knowledge_ms" => millis(self.call.knowledge_age)
        );
    }

    fn executed(&self, end: &CallEnd) -> &'static str {
        match end {
            CallEnd::Answered => "yes",
            CallEnd::Fault(fault) => fault.executed(),
            CallEnd::Cut | CallEnd::CallerGone if self.has_run() => "unknown",
            CallEnd::Cut | CallEnd::CallerGone => "no",
        }
    }

    fn endpoint_name(&self) -> &str {
        self.endpoint.as_deref().unwrap_or_default()
    }
}

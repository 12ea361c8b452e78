//! Log lines, metrics and reports to the control thread about one call.

use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::RateStatement;
use apricotknot_core::fleet::WaitCause;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::NodeId;
use slog::info;
use slog::warn;

use super::CallOutcome;
use super::attempt::OpenAttempt;
use super::call_driver::CallDriver;
use crate::CallLabels;
use crate::PlacementLabels;
use crate::clock::millis;
use crate::control::ControlCommand;
use crate::control::EndpointGrant;
use crate::control::PlacementRefusal;
use crate::protocol::AnswerMetadata;
use crate::protocol::CallProtocol;

/// Lower bound of the expected time until an answer begins, for the slowdown of an endpoint.
const MIN_EXPECTED_START: Duration = Duration::from_millis(50);

impl<P: CallProtocol> CallDriver<'_, P> {
    /// Ends an attempt that was answered, and reports to the control thread that it was.
    pub(super) fn record_answered(&mut self, open: &mut OpenAttempt) {
        open.guard.set_end(AttemptEnd::Answered);
        let fingerprint = self.call.fingerprint;
        let shared_parts = Arc::clone(&self.call.metadata.shared_parts);
        self.context.control.send(ControlCommand::RequestAnswered { fingerprint, shared_parts });
        self.count_attempt(AttemptEnd::Answered);
    }

    /// Reports to the control thread that an answer began, and how much later than expected.
    pub(super) fn record_answer_begun(&mut self, open: &OpenAttempt) {
        let after = self.now().saturating_sub(open.sent_at).as_secs_f64();
        self.context.control.send(ControlCommand::AnswerBegan {
            attempt: open.guard.attempt(),
            endpoint: Arc::clone(&open.endpoint),
            slowdown: after
                / open.expected_start.as_secs_f64().max(MIN_EXPECTED_START.as_secs_f64()),
        });
        let waited = self.now().saturating_sub(self.call.arrived);
        self.answer_begun_after.get_or_insert(waited);
        self.context.metrics.answer_begin.observe(waited.as_secs_f64());
    }

    /// Reports to the control thread what an answer states about the rate of its endpoint.
    ///
    /// Only an answer that the endpoint made for this request can state that there is no limit.
    pub(super) fn report_rate(&self, open: &OpenAttempt, metadata: &AnswerMetadata) {
        let may_end_limit = open.is_rate_limited
            && metadata.is_sealed
            && metadata.request_id.as_deref() == Some(&*self.call.metadata.request_id);
        let is_unlimited = metadata.rate_statement == RateStatement::Unlimited;
        if metadata.is_misdirected || (is_unlimited && !may_end_limit) {
            return;
        }
        self.context.control.send(ControlCommand::RateStated {
            endpoint: Arc::clone(&open.endpoint),
            statement: metadata.rate_statement,
            sent_at: open.sent_at,
        });
    }

    /// Counts the placement of the next attempt, and logs it with what was weighed.
    pub(super) fn log_placement(&self, grant: &EndpointGrant) {
        self.count_placement("placed", grant.waited_for);
        info!(
            self.context.logger, "call: placed";
            "request" => %self.call.metadata.request_id, "endpoint" => %grant.endpoint,
            "is_rate_limited" => grant.is_rate_limited,
            "is_relayed" => grant.path.is_relayed(),
            "helpers" => grant.helpers.len(), "held" => grant.reserved_tokens(),
            "prompt" => self.call.metadata.size.prompt, "rank" => self.call.rank,
            "expected_ms" => millis(grant.expected_start),
            "waited_for" => grant.waited_for.map(WaitCause::name),
            "value" => rounded(grant.evidence.net_value), "price" => rounded(grant.evidence.price),
            "utilization" => rounded(grant.evidence.utilization),
            "price_share" => rounded(self.call.price_share),
            "waited_ms" => millis(self.now().saturating_sub(self.call.arrived)),
            "version" => self.call.configuration_version,
            "knowledge_ms" => millis(self.call.configuration_age)
        );
    }

    /// Counts the refusal of an attempt, and logs it with what was weighed.
    pub(super) fn log_refusal(&self, refusal: &PlacementRefusal) {
        let evidence = refusal.evidence.unwrap_or_default();
        self.count_placement("refused", evidence.cause);
        info!(
            self.context.logger, "call: not placed";
            "request" => %self.call.metadata.request_id, "reason" => refusal.reason,
            "retry_after_ms" => millis(refusal.retry_after),
            "waited_for" => evidence.cause.map(WaitCause::name),
            "value" => rounded(evidence.net_value), "price" => rounded(evidence.price),
            "utilization" => rounded(evidence.utilization), "ahead" => evidence.rank,
            "price_share" => rounded(self.call.price_share),
            "prompt" => self.call.metadata.size.prompt, "rank" => self.call.rank,
            "waited_ms" => millis(self.now().saturating_sub(self.call.arrived))
        );
    }

    fn count_placement(&self, outcome: &'static str, cause: Option<WaitCause>) {
        let waited_for = cause.map_or("nothing", WaitCause::name);
        let kind = self.call.route.kind.name();
        let labels = PlacementLabels { kind, outcome, waited_for };
        self.context.metrics.placements.get_or_create(&labels).inc();
    }

    /// Logs that a peer has connected to the endpoint of an attempt.
    pub(super) fn log_relayed(&self, endpoint: &EndpointId, peer: &NodeId) {
        info!(
            self.context.logger, "call: connected through a peer";
            "request" => %self.call.metadata.request_id, "endpoint" => %endpoint,
            "peer" => &**peer
        );
    }

    /// Logs that an endpoint is silent, and that another one is tried beside it.
    pub(super) fn log_set_aside(&self, endpoint: &EndpointId) {
        info!(
            self.context.logger, "call: endpoint is silent; trying another one beside it";
            "request" => %self.call.metadata.request_id, "endpoint" => %endpoint,
            "after_ms" => millis(self.now().saturating_sub(self.call.arrived))
        );
    }

    /// Logs that a silent endpoint is waited for again; `goes_on` tells whether it speaks.
    pub(super) fn log_resumed(&self, endpoint: &EndpointId, goes_on: bool) {
        info!(
            self.context.logger, "call: going back to the endpoint that was silent";
            "request" => %self.call.metadata.request_id, "endpoint" => %endpoint,
            "goes_on" => goes_on,
            "after_ms" => millis(self.now().saturating_sub(self.call.arrived))
        );
    }

    /// Counts and logs an attempt that failed.
    pub(super) fn record_failed_attempt(
        &self,
        endpoint: &EndpointId,
        end: AttemptEnd,
        cause: &str,
    ) {
        self.count_attempt(end);
        warn!(
            self.context.logger, "call: attempt failed";
            "request" => %self.call.metadata.request_id, "endpoint" => %endpoint,
            "end" => end.name(), "cause" => cause, "sends" => self.sends,
            "after_ms" => millis(self.now().saturating_sub(self.call.arrived))
        );
    }

    fn count_attempt(&self, end: AttemptEnd) {
        let labels = CallLabels { kind: self.call.route.kind.name(), outcome: end.name() };
        self.context.metrics.attempts.get_or_create(&labels).inc();
    }

    /// Counts and logs the outcome of the call.
    pub(super) fn record_outcome(&self, call_outcome: &CallOutcome) {
        let outcome = call_outcome.name();
        let labels = CallLabels { kind: self.call.route.kind.name(), outcome };
        self.context.metrics.calls.get_or_create(&labels).inc();
        info!(
            self.context.logger, "call: over";
            "request" => %self.call.metadata.request_id, "outcome" => outcome,
            "cause" => call_outcome.cause(), "executed" => self.executed(call_outcome),
            "route" => %self.call.route.name,
            "account" => self.call.account_name(),
            "prompt" => self.call.metadata.size.prompt, "endpoint" => self.endpoint_name(),
            "sends" => self.sends, "runs" => self.runs,
            "begun_ms" => self.answer_begun_after.map(millis),
            "took_ms" => millis(self.now().saturating_sub(self.call.arrived)),
            "version" => self.call.configuration_version,
            "knowledge_ms" => millis(self.call.configuration_age)
        );
    }

    fn executed(&self, call_outcome: &CallOutcome) -> &'static str {
        match call_outcome {
            CallOutcome::Answered => "yes",
            CallOutcome::Fault(fault) => fault.executed(),
            CallOutcome::Truncated | CallOutcome::CallerDisconnected if self.has_run() => "unknown",
            CallOutcome::Truncated | CallOutcome::CallerDisconnected => "no",
        }
    }

    fn endpoint_name(&self) -> &str {
        self.endpoint.as_deref().unwrap_or_default()
    }
}

/// Returns a value or price with the two decimals that a log needs.
fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

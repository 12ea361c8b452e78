//! The end of attempts and of the request.

use apricotknot_core::admission::TokenUsage;
use apricotknot_core::outcome::FinalOutcome;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::AttemptOutcome;
use bytes::Bytes;
use slog::info;

use super::RequestDriver;
use crate::control::AttemptReport;
use crate::control::ControlCommand;
use crate::engine::EngineClient;
use crate::telemetry::RequestLabels;

/// Code of a request that was answered.
const ANSWERED_CODE: &str = "answered";

impl<E: EngineClient> RequestDriver<E> {
    /// Closes an attempt, and reports how it ended.
    pub(super) fn close_attempt(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let Some(open) = self.open.take_if(|open| open.ticket.attempt == attempt) else {
            return;
        };
        // Only an endpoint that said so, or was never sent to, certainly holds nothing.
        let confirmed_free = matches!(
            outcome,
            AttemptOutcome::Answered | AttemptOutcome::NotSent | AttemptOutcome::Refused
        );
        let usage = open.reader.as_ref().and_then(|reader| reader.completion_tokens());
        let usage = usage.map(|completion_tokens| TokenUsage {
            prompt_tokens: self.profile.prompt_tokens,
            completion_tokens,
            cached_tokens: 0,
        });
        self.send_command(ControlCommand::Ended(AttemptReport {
            pool: open.ticket.pool,
            attempt,
            outcome,
            confirmed_free,
            usage,
        }));
    }

    /// Ends the answer as the outcome says.
    pub(super) async fn finish(mut self, outcome: FinalOutcome) {
        self.record(&outcome);
        let Some(error) = outcome.error else {
            let stall_timeout = self.context.shared.settings.stall_timeout;
            let _ = tokio::time::timeout(stall_timeout, self.output.finish()).await;
            return;
        };
        if !outcome.partly_forwarded {
            self.output.fail(error);
            return;
        }
        if self.call.is_stream {
            let notice = Bytes::from(format!("data: {}\n\n", error.to_json()));
            let stall_timeout = self.context.shared.settings.stall_timeout;
            let _ = tokio::time::timeout(stall_timeout, self.output.send(notice)).await;
        }
        // Dropping the output cuts the answer, so that it cannot look whole.
    }

    fn record(&self, outcome: &FinalOutcome) {
        let code = outcome.error.as_ref().map_or(ANSWERED_CODE, |error| error.kind().code());
        let executed = outcome.executed.name();
        let labels = RequestLabels { outcome: code, executed };
        self.context.shared.metrics.requests.get_or_create(&labels).inc();
        if let Some(finished_request) = self.timing.finished_request(&self.profile, outcome) {
            self.send_command(ControlCommand::Served(Box::new(finished_request)));
        }
        info!(
            self.context.shared.logger, "front: request ended";
            "request" => self.format_request_id(),
            "account" => %self.profile.account,
            "service" => %self.profile.service,
            "outcome" => code,
            "executed" => executed,
            "attempts" => outcome.attempts,
        );
    }
}

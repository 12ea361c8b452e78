//! Completion of attempts and of the request.

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

/// Value of the outcome label of a request that was answered.
const ANSWERED_CODE: &str = "answered";

impl<E: EngineClient> RequestDriver<E> {
    /// Closes an attempt and reports its outcome to the control thread.
    ///
    /// Does nothing if `attempt` is not the open attempt.
    pub(super) fn close_attempt(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let Some(open) = self.open.take_if(|open| open.ticket.attempt == attempt) else {
            return;
        };
        // Only these outcomes make it certain that the endpoint holds no memory: it answered or
        // refused, or nothing was sent to it.
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

    /// Records the outcome and ends the answer accordingly.
    ///
    /// An answer that failed after its start is truncated; a stream gets the error as a last event.
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
        // Dropping the output truncates the answer, so that the caller cannot take it for complete.
    }

    /// Counts the request in the metrics and the objectives, and logs its outcome.
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

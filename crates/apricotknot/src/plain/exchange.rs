//! Exchange with a plain service, which may continue after its caller was answered.

use apricotknot_core::ledger::CallAnswer;
use apricotknot_core::types::AttemptId;
use tokio::task::JoinHandle;

use super::LedgerCall;
use super::PlainAnswer;
use super::PlainClient;
use super::PlainError;
use super::PlainErrorKind;
use super::PlainRequest;
use crate::control::AttemptReport;
use crate::control::ControlCommand;
use crate::front::NodePhase;
use crate::front::SharedContext;

/// Holds an exchange that is in progress; dropping it aborts the exchange.
#[derive(Debug)]
pub(super) struct PlainExchange {
    attempt: AttemptId,
    task: JoinHandle<Result<PlainAnswer, PlainError>>,
}

impl PlainExchange {
    /// Sends `request` in a task of its own.
    pub(super) fn start<P: PlainClient>(client: P, request: PlainRequest) -> Self {
        let attempt = request.attempt;
        let task = actix_rt::spawn(async move { client.call(request).await });
        Self { attempt, task }
    }

    /// Waits for the answer.
    ///
    /// # Errors
    ///
    /// Returns why the attempt failed.
    pub(super) async fn result(&mut self) -> Result<PlainAnswer, PlainError> {
        let result = (&mut self.task).await;
        result.unwrap_or_else(|_| Err(PlainError::new(PlainErrorKind::Lost)))
    }

    /// Records an answer that arrives after the outcome was reported to the caller as unknown.
    ///
    /// The grant is held until then, because the service is still working on the call.
    pub(super) async fn record_late_answer(
        mut self,
        shared: SharedContext,
        ledger_call: LedgerCall,
        report: AttemptReport,
    ) {
        shared.metrics.open_requests.inc();
        let mut phase = shared.phase.clone();
        let attempt = self.attempt;
        let result = tokio::select! {
            result = self.result() => result.ok(),
            _ = phase.wait_for(|phase| *phase == NodePhase::Stopping) => None,
        };
        let own = result.filter(|answer| answer.echoed.is_none_or(|echoed| echoed == attempt));
        if let Some(answer) = own {
            ledger_call.complete(recorded_answer(&answer));
        }
        shared.control.send(ControlCommand::Ended(report));
        shared.metrics.open_requests.dec();
    }
}

impl Drop for PlainExchange {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the part of an answer that the ledger records.
pub(super) fn recorded_answer(answer: &PlainAnswer) -> CallAnswer {
    let content_type = answer.headers.get("content-type").and_then(|value| value.to_str().ok());
    CallAnswer {
        status: answer.status,
        content_type: content_type.map(Into::into),
        body: Some(answer.body.to_vec().into()),
    }
}

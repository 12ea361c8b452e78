//! Sends an attempt and handles the head of its answer or the failure of its connection.

use std::time::Duration;

use apricotknot_core::outcome::LossCause;
use apricotknot_core::outcome::RequestEvent;
use apricotknot_core::types::AttemptId;
use apricotknot_gateway::endpoint::AnswerMemory;

use super::RequestDriver;
use crate::control::ControlCommand;
use crate::engine::AttemptRequest;
use crate::engine::EngineAnswer;
use crate::engine::EngineClient;
use crate::engine::EngineError;
use crate::engine::EngineErrorKind;
use crate::front::stream::AnswerReader;

/// Most load requests that probe an endpoint whose connection broke.
const MAX_CRASH_PROBES: u32 = 3;

/// Delay between two such probes.
const CRASH_PROBE_INTERVAL: Duration = Duration::from_millis(50);

impl<E: EngineClient> RequestDriver<E> {
    /// Sends the open attempt, unless its grant has expired or its endpoint has been removed.
    pub(super) async fn send_attempt(&mut self, attempt: AttemptId) {
        let now = self.now();
        let Some(open) = self.open.as_mut().filter(|open| open.ticket.attempt == attempt) else {
            return;
        };
        if now >= open.send_before {
            return self.feed(RequestEvent::GrantExpired { attempt });
        }
        let view = self.context.shared.control.view();
        let Some(location) = view.endpoint(&open.ticket.endpoint) else {
            return self.feed(RequestEvent::ConnectFailed { attempt });
        };
        self.timing.record_endpoint(open.ticket.endpoint.clone(), location.data_centre.clone());
        let request = AttemptRequest {
            address: location.address,
            attempt,
            path: self.call.path,
            body: self.call.body.clone(),
            priority: open.ticket.priority,
            fencing_number: open.ticket.fencing,
            head_timeout: self.profile.deadline.saturating_sub(now),
        };
        open.sent_at = Some(now);
        let pool = open.ticket.pool.clone();
        self.feed(RequestEvent::SendStarting { attempt });
        if self.tracker.is_finished() {
            return;
        }
        self.send_command(ControlCommand::Started { pool, attempt });
        let context = self.context.clone();
        // Boxed, so that the memory of this future is freed once the answer starts.
        let start = Box::pin(context.engine.start(request));
        let answer = self.unless_interrupted(start).await;
        self.handle_answer(attempt, 0, answer).await;
    }

    /// Continues the stream of `attempt` from event `index` on a new connection.
    pub(super) async fn resume_attempt(&mut self, attempt: AttemptId, index: u64) {
        let Some(address) = self.address() else {
            return self.feed(RequestEvent::ResumeRefused { attempt });
        };
        let context = self.context.clone();
        let resumed = Box::pin(context.engine.resume(address, attempt, index));
        match self.unless_interrupted(resumed).await {
            Ok(Err(error)) if error.kind() == EngineErrorKind::Refused => {
                self.feed(RequestEvent::ResumeRefused { attempt });
            },
            answer => self.handle_answer(attempt, index, answer).await,
        }
    }

    /// Handles the head of an answer, or the failure of its call.
    ///
    /// `first_index` is the number of the answer's first event.
    pub(super) async fn handle_answer(
        &mut self,
        attempt: AttemptId,
        first_index: u64,
        answer: Result<Result<EngineAnswer<E::Body>, EngineError>, RequestEvent>,
    ) {
        match answer {
            Err(event) => self.feed(event),
            Ok(Err(error)) => self.handle_failure(attempt, &error).await,
            Ok(Ok(answer)) => {
                self.report_boot(answer.boot.clone());
                let boot = answer.boot.clone();
                let echoed = answer.echoed;
                if let Some(open) = &mut self.open {
                    let memory = AnswerMemory::new(self.context.shared.answer_budget.clone());
                    let is_stream = self.call.is_stream;
                    open.reader = Some(AnswerReader::new(answer, is_stream, first_index, memory));
                }
                self.feed(RequestEvent::HeadReceived { attempt, echoed, boot });
            },
        }
    }

    /// Feeds the failure of a call to the engine to the tracker.
    pub(super) async fn handle_failure(&mut self, attempt: AttemptId, error: &EngineError) {
        match error.kind() {
            EngineErrorKind::NotSent => {
                if let Some(endpoint) = self.endpoint() {
                    self.report_reset(endpoint);
                }
                self.feed(RequestEvent::ConnectFailed { attempt });
            },
            EngineErrorKind::Refused => {
                self.feed(RequestEvent::HeadReceived {
                    attempt,
                    echoed: Some(attempt),
                    boot: None,
                });
                self.feed(RequestEvent::RefusedByEndpoint { attempt, retry_after: None });
            },
            EngineErrorKind::Failed => {
                self.feed(RequestEvent::HeadReceived {
                    attempt,
                    echoed: Some(attempt),
                    boot: None,
                });
                self.feed(RequestEvent::EndpointFailed { attempt });
            },
            EngineErrorKind::Lost | EngineErrorKind::Malformed => {
                self.handle_connection_loss(attempt).await
            },
        }
    }

    /// Feeds the loss of the connection to the tracker, after probing whether the endpoint crashed.
    pub(super) async fn handle_connection_loss(&mut self, attempt: AttemptId) {
        let endpoint_crashed = self.has_endpoint_crashed().await;
        let cause = if endpoint_crashed { LossCause::EndpointCrash } else { LossCause::Connection };
        if let Some(endpoint) = self.endpoint().filter(|_| endpoint_crashed) {
            self.report_reset(endpoint);
        }
        self.feed(RequestEvent::ConnectionLost { attempt, cause });
    }

    /// Returns whether the endpoint's process has ended or restarted.
    ///
    /// A process that is ending may still accept a connection and then reset it, so a failed probe
    /// is repeated.
    pub(super) async fn has_endpoint_crashed(&self) -> bool {
        let Some(address) = self.address() else {
            return true;
        };
        let reader = self.open.as_ref().and_then(|open| open.reader.as_ref());
        let boot = reader.and_then(|reader| reader.boot());
        for _ in 0..MAX_CRASH_PROBES {
            match Box::pin(self.context.engine.load(address)).await {
                Ok(report) => return boot.is_some_and(|boot| boot != report.boot_id),
                Err(error) if error.kind() == EngineErrorKind::NotSent => return true,
                Err(_) => tokio::time::sleep(CRASH_PROBE_INTERVAL).await,
            }
        }
        false
    }
}

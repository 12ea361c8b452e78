//! Forwards an answer once it is complete.

use actix_http::ResponseHead;
use actix_http::StatusCode;
use bytes::BytesMut;

use super::attempt::AnswerBody;
use super::attempt::AnsweredAttempt;
use super::attempt::AttemptFault;
use super::attempt::AttemptStage;
use super::attempt::CallInterrupt;
use super::attempt::OpenAttempt;
use super::call_driver::CallDriver;
use crate::endpoint::EndpointExchange;
use crate::endpoint::ExchangeError;
use crate::protocol::CallProtocol;

/// Largest body of an answer that is no stream, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

impl<P: CallProtocol> CallDriver<'_, P> {
    /// Reads an answer to its end, then forwards it.
    ///
    /// A server error is kept as the fallback instead if another endpoint may be tried. A status that
    /// callers take for a refusal is not forwarded where the call may have run and must not run again.
    pub(super) async fn relay_buffered(
        &mut self,
        mut open: OpenAttempt,
        head: ResponseHead,
        mut body: BytesMut,
    ) -> Result<(), CallInterrupt> {
        if promises_not_run(head.status) && !self.call.route.is_retry_safe() {
            self.record_false_refusal(open, head.status);
            return Err(CallInterrupt::Attempt(AttemptFault::MayHaveRun));
        }
        let fallback_bytes = self.fallback.as_ref().map_or(0, |(_, body)| body.len());
        loop {
            match self.next_step(&mut open, EndpointExchange::read_part).await {
                Err(reason) => {
                    let body = AnswerBody::Whole(body);
                    let stage = AttemptStage::Answered(AnsweredAttempt { open, head, body });
                    return Err(self.interrupt_stage(stage, reason));
                },
                Ok(Err(error)) => return Err(self.end_broken_attempt(open, &error)),
                Ok(Ok(Some(part))) if body.len() + part.len() <= MAX_ANSWER_BYTES => {
                    let held = fallback_bytes + body.len() + part.len();
                    let has_memory = self.answer_memory.set_held(held);
                    open.progress_at = self.now();
                    body.extend_from_slice(&part);
                    match has_memory {
                        Ok(()) => {},
                        Err(error) if head.status.is_server_error() => {
                            return Err(self.end_broken_attempt(open, &error.into()));
                        },
                        Err(_) => return self.relay_unbuffered(open, head, body).await,
                    }
                },
                Ok(Ok(Some(_))) => {
                    return Err(self.end_broken_attempt(open, &ExchangeError::MalformedBody));
                },
                Ok(Ok(None)) => break,
            }
        }
        self.runs += 1;
        let body = body.freeze();
        if head.status.is_server_error() {
            let end = open.failed_end();
            open.guard.set_end(end);
            self.record_failed_attempt(&open.endpoint, end, head.status.as_str());
            if self.may_run_again() || self.standby.is_some() {
                self.fallback = Some((head, body));
                self.excluded.push(open.endpoint);
                return Err(CallInterrupt::Attempt(AttemptFault::MayHaveRun));
            }
        } else {
            self.record_answer_begun(&open);
            self.record_answered(&mut open);
            if head.status.is_success() {
                self.finish_attempt_request(open);
            }
        }
        self.drop_standby();
        self.write_answer(head, body).map_err(|_| CallInterrupt::CallerDisconnected)
    }

    /// Ends an attempt whose endpoint gave a status of a refusal without saying that nothing ran.
    ///
    /// To the caller of a call that may not be repeated, the status would be a promise.
    fn record_false_refusal(&mut self, mut open: OpenAttempt, status: StatusCode) {
        self.runs += 1;
        let end = open.failed_end();
        open.guard.set_end(end);
        self.record_failed_attempt(&open.endpoint, end, status.as_str());
        self.excluded.push(open.endpoint);
    }
}

/// Returns whether callers take a status for the promise that a request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

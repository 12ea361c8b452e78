//! Forwards an answer while it is read, for want of memory to hold all of it.
//!
//! The endpoint is then read as fast as the caller reads, and no other endpoint can continue the
//! answer: if it breaks off, the caller sees that it is incomplete.

use actix_http::ResponseHead;
use actix_http::body::BodySize;
use bytes::BytesMut;

use super::attempt::AnswerBody;
use super::attempt::AnsweredAttempt;
use super::attempt::AttemptStage;
use super::attempt::CallInterrupt;
use super::attempt::OpenAttempt;
use super::buffered_relay::MAX_ANSWER_BYTES;
use super::call_driver::CallDriver;
use crate::caller::declared_length;
use crate::caller::remove_hop_by_hop_headers;
use crate::endpoint::EndpointExchange;
use crate::endpoint::ExchangeError;
use crate::protocol::CallProtocol;

impl<P: CallProtocol> CallDriver<'_, P> {
    /// Forwards the answer that begins with `body`, until its end or the call's deadline.
    pub(super) async fn relay_unbuffered(
        &mut self,
        mut open: OpenAttempt,
        head: ResponseHead,
        body: BytesMut,
    ) -> Result<(), CallInterrupt> {
        self.drop_standby();
        self.fallback = None;
        // Another endpoint could not continue this answer.
        open.silence_limit = None;
        self.record_answer_begun(&open);
        let mut length = body.len();
        self.begin_unbuffered(&head, body)?;
        loop {
            self.flush_until_deadline().await?;
            // To give memory back cannot fail.
            let _ = self.answer_memory.set_held(0);
            match self.next_step(&mut open, EndpointExchange::read_part).await {
                Err(reason) => {
                    let body = AnswerBody::Whole(BytesMut::new());
                    let stage = AttemptStage::Answered(AnsweredAttempt { open, head, body });
                    return Err(self.interrupt_stage(stage, reason));
                },
                Ok(Err(error)) => return Err(self.truncate(open, &error)),
                Ok(Ok(None)) => break,
                Ok(Ok(Some(part))) => {
                    length += part.len();
                    if length > MAX_ANSWER_BYTES {
                        return Err(self.truncate(open, &ExchangeError::MalformedBody));
                    }
                    let written = self.connection.write_part(part);
                    written.map_err(|_| CallInterrupt::CallerDisconnected)?;
                },
            }
        }
        self.runs += 1;
        self.record_answered(&mut open);
        if head.status.is_success() {
            self.finish_attempt_request(open);
        }
        self.connection.finish_answer().map_err(|_| CallInterrupt::CallerDisconnected)
    }

    fn begin_unbuffered(
        &mut self,
        head: &ResponseHead,
        body: BytesMut,
    ) -> Result<(), CallInterrupt> {
        self.has_answer_begun = true;
        let mut head = head.clone();
        let length = declared_length(&head.headers).and_then(|length| u64::try_from(length).ok());
        let size = length.map_or(BodySize::Stream, BodySize::Sized);
        remove_hop_by_hop_headers(&mut head.headers);
        self.close_if_stopping();
        let begun = self.connection.begin_answer(&head, size);
        let written = begun.and_then(|()| self.connection.write_long_part(body.freeze()));
        written.map_err(|_| CallInterrupt::CallerDisconnected)
    }

    fn truncate(&mut self, open: OpenAttempt, error: &ExchangeError) -> CallInterrupt {
        self.end_broken_attempt(open, error);
        CallInterrupt::Truncated
    }
}

//! Forwards an event stream, event by event.

use std::time::Duration;

use actix_http::ResponseHead;
use actix_http::body::BodySize;
use actix_http::header::CONTENT_TYPE;

use super::attempt::AnswerBody;
use super::attempt::AnsweredAttempt;
use super::attempt::AttemptStage;
use super::attempt::CallInterrupt;
use super::attempt::OpenAttempt;
use super::call_driver::CallDriver;
use crate::caller::remove_hop_by_hop_headers;
use crate::endpoint::AnswerBudgetError;
use crate::endpoint::EndpointExchange;
use crate::endpoint::EventPosition;
use crate::endpoint::EventSplitter;
use crate::endpoint::ExchangeError;
use crate::endpoint::MAX_EVENT_BYTES;
use crate::endpoint::StreamEvent;
use crate::protocol::CallProtocol;

/// Bytes of an answer that may be buffered for a slow caller.
const MAX_BUFFERED_BYTES: usize = 256 * 1_024;

/// Shortest silence between two events after which another endpoint is tried.
const MIN_STREAM_SILENCE_LIMIT: Duration = Duration::from_millis(1_600);

/// Ratio of the silence limit of a stream to the pause limit of its route.
const PAUSE_LIMIT_FACTOR: u32 = 3;

impl<P: CallProtocol> CallDriver<'_, P> {
    /// Forwards the events of an attempt until the stream is complete.
    ///
    /// Only complete events are forwarded, so that another endpoint can continue after each one.
    pub(super) async fn relay_events(
        &mut self,
        mut open: OpenAttempt,
        head: ResponseHead,
        mut splitter: EventSplitter,
    ) -> Result<(), CallInterrupt> {
        loop {
            while let Some(event) = splitter.next_event() {
                open.progress_at = self.now();
                let is_first = !std::mem::replace(&mut open.has_begun, true);
                if is_first {
                    self.record_answer_begun(&open);
                    self.count_stream(&open);
                    open.silence_limit = open.silence_limit.and(self.stream_silence_limit());
                }
                let position = self.event_position(is_first);
                if !self.event_order.allows(event.id, position) {
                    return Err(self.end_broken_attempt(open, &ExchangeError::MalformedBody));
                }
                self.drop_standby();
                self.forward(&head, event, position)?;
            }
            if splitter.len() > MAX_EVENT_BYTES {
                return Err(self.end_broken_attempt(open, &ExchangeError::MalformedBody));
            }
            if let Err(error) = self.bound_buffers(splitter.len()).await? {
                return Err(self.end_broken_attempt(open, &error.into()));
            }
            match self.next_step(&mut open, EndpointExchange::read_part).await {
                Err(reason) => {
                    let body = AnswerBody::Events(splitter);
                    let stage = AttemptStage::Answered(AnsweredAttempt { open, head, body });
                    return Err(self.interrupt_stage(stage, reason));
                },
                Ok(Err(error)) => return Err(self.end_broken_attempt(open, &error)),
                Ok(Ok(None)) if splitter.is_empty() => break,
                Ok(Ok(None)) => {
                    return Err(self.end_broken_attempt(open, &ExchangeError::Truncated));
                },
                Ok(Ok(Some(part))) => splitter.push(&part),
            }
        }
        self.finish_stream(open, &head)
    }

    fn event_position(&self, is_first: bool) -> EventPosition {
        match (is_first, self.has_answer_begun) {
            (true, true) => EventPosition::Continues,
            (true, false) => EventPosition::Begins,
            (false, _) => EventPosition::Follows,
        }
    }

    fn forward(
        &mut self,
        head: &ResponseHead,
        event: StreamEvent,
        position: EventPosition,
    ) -> Result<(), CallInterrupt> {
        self.begin_answer(head)?;
        self.event_order.record(event.id, position);
        self.connection.write_part(event.bytes).map_err(|_| CallInterrupt::CallerDisconnected)
    }

    /// Writes the head of the answer, unless an earlier attempt has written it.
    fn begin_answer(&mut self, head: &ResponseHead) -> Result<(), CallInterrupt> {
        if std::mem::replace(&mut self.has_answer_begun, true) {
            return Ok(());
        }
        self.content_type = head.headers.get(CONTENT_TYPE).cloned();
        let mut head = head.clone();
        remove_hop_by_hop_headers(&mut head.headers);
        self.close_if_stopping();
        let begun = self.connection.begin_answer(&head, BodySize::Stream);
        begun.map_err(|_| CallInterrupt::CallerDisconnected)
    }

    /// Counts what is buffered of a stream, and waits until the caller has read it if it is too much.
    ///
    /// `unforwarded` is the length of what no whole event has come of yet. The inner error says that
    /// there is no memory even for that, which ends the attempt.
    ///
    /// # Errors
    ///
    /// Returns the interrupt of the call if the caller does not read in time.
    async fn bound_buffers(
        &mut self,
        unforwarded: usize,
    ) -> Result<Result<(), AnswerBudgetError>, CallInterrupt> {
        let buffered = self.connection.buffered_bytes();
        let has_memory = self.answer_memory.set_held(unforwarded + buffered).is_ok();
        if has_memory && buffered < MAX_BUFFERED_BYTES {
            return Ok(Ok(()));
        }
        self.flush_until_deadline().await?;
        Ok(self.answer_memory.set_held(unforwarded))
    }

    /// Waits until the caller has read what is buffered.
    pub(super) async fn flush_until_deadline(&mut self) -> Result<(), CallInterrupt> {
        let left = self.call.deadline.saturating_sub(self.now());
        match tokio::time::timeout(left, self.connection.flush()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(CallInterrupt::CallerDisconnected),
            Err(_) => Err(CallInterrupt::Deadline),
        }
    }

    fn finish_stream(
        &mut self,
        mut open: OpenAttempt,
        head: &ResponseHead,
    ) -> Result<(), CallInterrupt> {
        self.begin_answer(head)?;
        self.runs += 1;
        self.record_answered(&mut open);
        self.finish_attempt_request(open);
        self.connection.finish_answer().map_err(|_| CallInterrupt::CallerDisconnected)
    }

    /// Returns how long a stream may be silent before another endpoint is tried.
    ///
    /// Returns `None` if the route has no pause limit.
    fn stream_silence_limit(&self) -> Option<Duration> {
        let limit = self.call.route.pause_limit?;
        Some((limit * PAUSE_LIMIT_FACTOR).max(MIN_STREAM_SILENCE_LIMIT))
    }
}

//! Passes a stream on, event by event.

use std::time::Duration;

use actix_http::ResponseHead;
use actix_http::body::BodySize;

use super::attempt::AnsweredAttempt;
use super::attempt::CallBreak;
use super::attempt::OpenAttempt;
use super::call_driver::CallDriver;
use crate::caller::hop_free;
use crate::endpoint::EndpointExchange;
use crate::endpoint::EventSplitter;
use crate::endpoint::ExchangeError;
use crate::endpoint::StreamEvent;
use crate::protocol::CallProtocol;

/// Bytes of an answer that may wait in the node for a slow caller.
const MAX_BUFFERED_BYTES: usize = 256 * 1_024;

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Shortest pause between two events after which a stream is tried elsewhere.
const MIN_PAUSE: Duration = Duration::from_millis(1_600);

/// Pauses in relation to the longest one that is on time.
const PAUSE_FACTOR: u32 = 3;

impl<P: CallProtocol> CallDriver<'_, P> {
    /// Passes the events of an attempt on until the stream is whole.
    ///
    /// Only whole events are passed on, so that another endpoint can go on after each of them.
    pub(super) async fn relay_events(
        &mut self,
        answered: AnsweredAttempt,
    ) -> Result<(), CallBreak> {
        let AnsweredAttempt { mut open, head } = answered;
        let mut splitter = EventSplitter::default();
        let mut is_first = true;
        loop {
            match self.next_step(&mut open, EndpointExchange::read_part).await {
                Err(reason) => return Err(self.stop_attempt(open.guard, &open.endpoint, reason)),
                Ok(Err(error)) => return Err(self.lose(open, &error)),
                Ok(Ok(None)) if splitter.is_empty() => break,
                Ok(Ok(None)) => return Err(self.lose(open, &ExchangeError::Truncated)),
                Ok(Ok(Some(part))) => splitter.push(&part),
            }
            while let Some(event) = splitter.next_event() {
                if std::mem::take(&mut is_first) {
                    self.note_begun(&open);
                    open.patience = open.patience.and(self.pause_patience());
                }
                if !self.is_next(&event) {
                    return Err(self.lose(open, &ExchangeError::MalformedBody));
                }
                self.forward(&head, event)?;
            }
            if splitter.len() > MAX_EVENT_BYTES {
                return Err(self.lose(open, &ExchangeError::MalformedBody));
            }
            self.make_room().await?;
        }
        self.finish(open, &head)
    }

    /// Returns whether an event follows the last one that was passed on.
    fn is_next(&self, event: &StreamEvent) -> bool {
        match (self.last_event, event.number) {
            (Some(last), Some(number)) => number == last + 1,
            _ => true,
        }
    }

    fn forward(&mut self, head: &ResponseHead, event: StreamEvent) -> Result<(), CallBreak> {
        self.begin(head)?;
        self.last_event = event.number.or(self.last_event);
        self.connection.push(event.bytes).map_err(|_| CallBreak::CallerGone)
    }

    /// Writes the head of the answer unless an earlier attempt has.
    fn begin(&mut self, head: &ResponseHead) -> Result<(), CallBreak> {
        if std::mem::replace(&mut self.has_begun, true) {
            return Ok(());
        }
        let mut head = head.clone();
        hop_free(&mut head.headers);
        self.note_stop();
        let begun = self.connection.begin_answer(&head, BodySize::Stream);
        begun.map_err(|_| CallBreak::CallerGone)
    }

    /// Waits until a slow caller has read part of what was passed on.
    async fn make_room(&mut self) -> Result<(), CallBreak> {
        if self.connection.buffered() < MAX_BUFFERED_BYTES {
            return Ok(());
        }
        let left = self.call.deadline.saturating_sub(self.now());
        match tokio::time::timeout(left, self.connection.flush()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(CallBreak::CallerGone),
            Err(_) => Err(CallBreak::Deadline),
        }
    }

    fn finish(&mut self, mut open: OpenAttempt, head: &ResponseHead) -> Result<(), CallBreak> {
        self.begin(head)?;
        self.runs += 1;
        self.note_answered(&mut open);
        self.connection.finish_answer().map_err(|_| CallBreak::CallerGone)
    }

    /// Returns how long a stream may pause before it is tried elsewhere.
    fn pause_patience(&self) -> Option<Duration> {
        let limit = self.call.route.pause_limit?;
        Some((limit * PAUSE_FACTOR).max(MIN_PAUSE))
    }
}

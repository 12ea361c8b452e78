//! Reads an answer and forwards it to the caller.

use apricotknot_core::outcome::RequestEvent;
use apricotknot_core::types::AttemptId;
use bytes::Bytes;
use slog::info;

use super::RequestDriver;
use crate::control::ControlCommand;
use crate::engine::EngineClient;
use crate::front::stream::AnswerEvent;
use crate::front::stream::AnswerReader;
use crate::telemetry::ClassLabels;

impl<E: EngineClient> RequestDriver<E> {
    /// Reads the next event of the answer and feeds it to the tracker.
    pub(super) async fn read_answer(&mut self) {
        let Some((mut reader, attempt)) = self.take_reader() else {
            // Without an answer to read, only an interruption such as the deadline can follow.
            let deadline = std::future::pending::<()>();
            if let Err(event) = self.unless_interrupted(deadline).await {
                self.feed(event);
            }
            return;
        };
        let answer_event = self.unless_interrupted(reader.next_event()).await;
        if let Some(open) = &mut self.open {
            open.reader = Some(reader);
        }
        match answer_event {
            Err(event) => self.feed(event),
            Ok(AnswerEvent::Chunk { index, bytes }) => {
                self.timing.record_chunk(self.now());
                self.record_first_token(attempt);
                self.pending_chunk = Some(bytes);
                self.feed(RequestEvent::ChunkReceived { attempt, index });
            },
            Ok(AnswerEvent::Complete { end_marker }) => {
                if let Some(bytes) = end_marker {
                    self.pending_chunk = Some(bytes);
                    self.forward_chunk().await;
                }
                self.feed(RequestEvent::AnswerCompleted { attempt });
            },
            Ok(AnswerEvent::Broken) => self.handle_connection_loss(attempt).await,
        }
    }

    /// Removes the reader from the open attempt, so that it can be used without borrowing `self`.
    pub(super) fn take_reader(&mut self) -> Option<(AnswerReader<E::Body>, AttemptId)> {
        let open = self.open.as_mut()?;
        let reader = open.reader.take()?;
        Some((reader, open.ticket.attempt))
    }

    /// Sends the pending chunk to the caller.
    ///
    /// A caller that does not read within the stall timeout is treated as disconnected.
    pub(super) async fn forward_chunk(&mut self) {
        let Some(bytes) = self.pending_chunk.take() else {
            return;
        };
        let reader = self.open.as_ref().and_then(|open| open.reader.as_ref());
        if let Some(reader) = reader {
            self.output.start(reader.content_type());
        }
        self.release_prompt();
        let stall_timeout = self.context.shared.settings.stall_timeout;
        let sent = {
            let sending = tokio::time::timeout(stall_timeout, self.output.send(bytes));
            self.unless_interrupted(sending).await
        };
        match sent {
            Ok(Ok(())) => {},
            Ok(Err(_)) => {
                info!(
                    self.context.shared.logger,
                    "front: caller reads too slowly; treating it as disconnected";
                    "request" => self.format_request_id()
                );
                self.feed(RequestEvent::CallerDisconnected);
            },
            Err(event) => self.feed(event),
        }
    }

    /// Frees the prompt, which is not sent again once part of its answer has been forwarded.
    pub(super) fn release_prompt(&mut self) {
        self.call.body = Bytes::new();
        self.profile.prefix_blocks = Vec::new();
    }

    /// Reports and measures the time to the first token; does nothing for later tokens.
    pub(super) fn record_first_token(&mut self, attempt: AttemptId) {
        let now = self.now();
        let Some(open) = self.open.as_mut().filter(|open| !open.has_first_token) else {
            return;
        };
        open.has_first_token = true;
        let after = now.saturating_sub(open.sent_at.unwrap_or(now));
        let pool = open.ticket.pool.clone();
        self.send_command(ControlCommand::FirstToken { pool, attempt, after });
        let labels = ClassLabels { class: self.profile.length_class().name() };
        let since_arrival = now.saturating_sub(self.arrived_at);
        let histogram = self.context.shared.metrics.first_token.get_or_create(&labels);
        histogram.observe(since_arrival.as_secs_f64());
    }
}

//! Reader of a streamed answer.

use std::time::Duration;
use std::time::Instant;

use awc::ClientResponse;
use bytes::BytesMut;
use futures::StreamExt;
use serde_json::Value;

use super::FleetError;

/// Holds what has been read of a streamed answer.
#[derive(Clone, Debug, Default)]
pub struct StreamSummary {
    /// Concatenated text of all chunks.
    pub text: String,
    /// Number of chunks with text.
    pub chunks: usize,
    /// Size of the body, in bytes.
    pub bytes: usize,
    /// Reason for which the answer ended; `None` if no chunk gave one.
    pub finish_reason: Option<String>,
    /// Token usage, if a chunk reported it.
    pub usage: Option<Value>,
    /// Error object, if the stream contained one.
    pub error: Option<Value>,
    /// Whether the end mark `[DONE]` was received.
    pub done: bool,
    /// Time from sending the request to the first chunk with text.
    pub first_token: Option<Duration>,
}

impl StreamSummary {
    /// Parses a complete body, whose request was sent at `sent_at`.
    pub fn parse(body: &[u8], sent_at: Instant) -> Self {
        let mut summary = Self { bytes: body.len(), ..Self::default() };
        summary.parse_lines(&mut BytesMut::from(body), sent_at);
        summary
    }

    fn parse_lines(&mut self, buffer: &mut BytesMut, sent_at: Instant) {
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end + 1);
            if let Some(data) = line.strip_prefix(b"data: ") {
                self.parse_data(data.trim_ascii(), sent_at);
            }
        }
    }

    fn parse_data(&mut self, data: &[u8], sent_at: Instant) {
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let chunk: Value = serde_json::from_slice(data).unwrap_or_default();
        if !chunk["error"].is_null() {
            self.error = Some(chunk["error"].clone());
        }
        let choice = &chunk["choices"][0];
        let text = choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str());
        if let Some(text) = text.filter(|text| !text.is_empty()) {
            self.text.push_str(text);
            self.chunks += 1;
            self.first_token.get_or_insert_with(|| sent_at.elapsed());
        }
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(reason.to_owned());
        }
        if !chunk["usage"].is_null() {
            self.usage = Some(chunk["usage"].clone());
        }
    }
}

/// Reads a streamed answer event by event.
pub struct AnswerStream {
    response: ClientResponse,
    buffer: BytesMut,
    sent_at: Instant,
    summary: StreamSummary,
}

impl AnswerStream {
    pub(super) fn new(response: ClientResponse, sent_at: Instant) -> Self {
        Self { response, buffer: BytesMut::new(), sent_at, summary: StreamSummary::default() }
    }

    /// Reads until `chunks` chunks with text have been received or the stream has ended.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn read_chunks(&mut self, chunks: usize) -> Result<(), FleetError> {
        while self.summary.chunks < chunks && self.read_more().await? {}
        Ok(())
    }

    /// Reads to the end of the stream and returns the complete answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn finish(mut self) -> Result<StreamSummary, FleetError> {
        while self.read_more().await? {}
        Ok(self.summary)
    }

    async fn read_more(&mut self) -> Result<bool, FleetError> {
        match self.response.next().await {
            None => Ok(false),
            Some(Err(error)) => {
                let chunks = self.summary.chunks;
                Err(FleetError::StreamBroken { chunks, reason: error.to_string() })
            },
            Some(Ok(bytes)) => {
                self.buffer.extend_from_slice(&bytes);
                let sent_at = self.sent_at;
                self.summary.bytes += bytes.len();
                self.summary.parse_lines(&mut self.buffer, sent_at);
                Ok(true)
            },
        }
    }

    /// Returns what has been read until now.
    pub fn summary(&self) -> &StreamSummary {
        &self.summary
    }

    /// Returns the header `name` of the answer.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }
}

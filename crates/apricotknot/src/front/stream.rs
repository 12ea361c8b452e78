//! Reads one answer of an engine, buffered or streamed.

use apricotknot_core::types::BootId;
use apricotknot_core::types::TokenCount;
use apricotknot_gateway::endpoint::AnswerMemory;
use bytes::Bytes;
use bytes::BytesMut;
use futures::Stream;
use futures::StreamExt;
use serde::de::IgnoredAny;

use crate::engine::EngineAnswer;
use crate::engine::EngineError;
use crate::engine::SseSplitter;
use crate::engine::find_completion_tokens;

/// Most bytes of an answer that is not streamed; a larger one counts as broken.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Media type of an answer for which the engine sent none.
const DEFAULT_MEDIA_TYPE: &str = "application/json";

/// Next event while an answer is read.
#[derive(Debug)]
pub(super) enum AnswerEvent {
    /// The connection broke, or the answer ended or could not be read before it was complete.
    Broken,
    /// A chunk arrived: an event of a stream, or the whole answer if it is not streamed.
    Chunk {
        /// Position of the chunk in the answer, counted from 0.
        index: u64,
        /// Bytes to forward.
        bytes: Bytes,
    },
    /// The answer is complete.
    Complete {
        /// Event that marks the end of a stream, to be forwarded after the last chunk.
        end_marker: Option<Bytes>,
    },
}

/// Reads an answer chunk by chunk.
pub(super) struct AnswerReader<B> {
    body: B,
    boot: Option<BootId>,
    content_type: String,
    splitter: SseSplitter,
    is_stream: bool,
    is_fully_read: bool,
    next_index: u64,
    completion_tokens: Option<TokenCount>,
    /// Memory of what was read and is not forwarded.
    memory: AnswerMemory,
}

impl<B> AnswerReader<B>
where
    B: Stream<Item = Result<Bytes, EngineError>> + Unpin,
{
    /// Creates a reader of `answer`, whose first chunk has the position `first_index`.
    ///
    /// What it holds counts in `memory`.
    pub(super) fn new(
        answer: EngineAnswer<B>,
        is_stream: bool,
        first_index: u64,
        memory: AnswerMemory,
    ) -> Self {
        Self {
            body: answer.body,
            boot: answer.boot,
            content_type: answer.content_type.unwrap_or_else(|| DEFAULT_MEDIA_TYPE.to_owned()),
            splitter: SseSplitter::new(),
            is_stream,
            is_fully_read: false,
            next_index: first_index,
            completion_tokens: None,
            memory,
        }
    }

    /// Reads the next event.
    ///
    /// For a stream, the future may be dropped without loss of data.
    pub(super) async fn next_event(&mut self) -> AnswerEvent {
        if self.is_stream { self.next_stream_event().await } else { self.read_whole().await }
    }

    async fn next_stream_event(&mut self) -> AnswerEvent {
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.completion_tokens = event.completion_tokens.or(self.completion_tokens);
                if event.is_end {
                    return AnswerEvent::Complete { end_marker: Some(event.bytes) };
                }
                let index = event.index.unwrap_or(self.next_index);
                self.next_index = index.saturating_add(1);
                return AnswerEvent::Chunk { index, bytes: event.bytes };
            }
            match self.body.next().await {
                Some(Ok(chunk)) if self.splitter.push(&chunk).is_ok() => {},
                _ => return AnswerEvent::Broken,
            }
            if self.memory.set_held(self.splitter.len()).is_err() {
                return AnswerEvent::Broken;
            }
        }
    }

    /// Reads an answer that is not streamed; it must be valid JSON of at most [`MAX_ANSWER_BYTES`].
    async fn read_whole(&mut self) -> AnswerEvent {
        if self.is_fully_read {
            return AnswerEvent::Complete { end_marker: None };
        }
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.body.next().await {
            let Ok(chunk) = chunk else {
                return AnswerEvent::Broken;
            };
            let held = whole.len() + chunk.len();
            if held > MAX_ANSWER_BYTES || self.memory.set_held(held).is_err() {
                return AnswerEvent::Broken;
            }
            whole.extend_from_slice(&chunk);
        }
        if serde_json::from_slice::<IgnoredAny>(&whole).is_err() {
            return AnswerEvent::Broken;
        }
        self.is_fully_read = true;
        self.completion_tokens = find_completion_tokens(&whole);
        AnswerEvent::Chunk { index: 0, bytes: whole.freeze() }
    }

    /// Returns the boot id of the engine that answers, if it sent one.
    pub(super) fn boot(&self) -> Option<BootId> {
        self.boot.clone()
    }
}

impl<B> AnswerReader<B> {
    /// Returns the media type of the answer.
    pub(super) fn content_type(&self) -> &str {
        &self.content_type
    }

    /// Returns the number of generated tokens that the engine reported, if it has reported one.
    pub(super) fn completion_tokens(&self) -> Option<TokenCount> {
        self.completion_tokens
    }
}

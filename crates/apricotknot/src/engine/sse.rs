//! Splits a byte stream into complete server-sent events.

use apricotknot_gateway::endpoint::EventSplitter;
use apricotknot_gateway::endpoint::MAX_EVENT_BYTES;
use apricotknot_gateway::endpoint::lines_of;
use bytes::Bytes;

use super::EngineError;
use super::EngineErrorKind;
use super::StreamEvent;

/// Data of the event that marks the end of a stream.
const END_MARKER: &[u8] = b"[DONE]";

/// JSON key, with its colon, of the number of generated tokens.
const COMPLETION_TOKENS_KEY: &[u8] = b"\"completion_tokens\":";

/// Joins the chunks of a stream and splits them into complete events.
#[derive(Debug, Default)]
pub struct SseSplitter {
    events: EventSplitter,
}

impl SseSplitter {
    /// Creates a splitter without any data.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a chunk of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the buffer exceeds 1 MiB without a complete event; no engine sends an
    /// event of that size.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), EngineError> {
        self.events.push(chunk);
        if self.events.len() > MAX_EVENT_BYTES && !self.events.has_event() {
            return Err(EngineError::new(EngineErrorKind::Malformed));
        }
        Ok(())
    }

    /// Returns the number of buffered bytes, including those of complete events.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        self.events.next_bytes().map(scan_event)
    }
}

/// Reads the fields that the node needs from the lines of an event.
fn scan_event(bytes: Bytes) -> StreamEvent {
    let mut event =
        StreamEvent { bytes: Bytes::new(), index: None, is_end: false, completion_tokens: None };
    lines_of(&bytes).for_each(|line| scan_line(line, &mut event));
    event.bytes = bytes;
    event
}

fn scan_line(line: &[u8], event: &mut StreamEvent) {
    if let Some(value) = line.strip_prefix(b"id:") {
        event.index = parse_number(value.trim_ascii());
        return;
    }
    let Some(data) = line.strip_prefix(b"data:") else {
        return;
    };
    let data = data.trim_ascii();
    if data == END_MARKER {
        event.is_end = true;
        return;
    }
    event.completion_tokens = find_completion_tokens(data).or(event.completion_tokens);
}

/// Finds the number of generated tokens in the JSON text `data` without parsing all of it.
///
/// The last occurrence of the key counts; returns none if there is no such key or no number.
pub fn find_completion_tokens(data: &[u8]) -> Option<u64> {
    let start = data
        .windows(COMPLETION_TOKENS_KEY.len())
        .rposition(|window| window == COMPLETION_TOKENS_KEY)?;
    let value = data[start + COMPLETION_TOKENS_KEY.len()..].trim_ascii_start();
    let end = value.iter().position(|byte| !byte.is_ascii_digit()).unwrap_or(value.len());
    parse_number(&value[..end])
}

fn parse_number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.parse().ok()
}

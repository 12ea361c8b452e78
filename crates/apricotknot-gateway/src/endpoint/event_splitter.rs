//! Splitting of a byte stream into complete server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes that end an event: an empty line.
const EVENT_END: &[u8] = b"\n\n";

/// Holds one complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Bytes as the endpoint sent them, including the empty line at the end.
    pub bytes: Bytes,
    /// Id of the event, if it has a numeric one.
    pub id: Option<u64>,
}

/// Joins the parts of a stream and splits them into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer in which no event ends.
    searched: usize,
}

impl EventSplitter {
    /// Adds the next part of the stream.
    pub fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// Removes and returns the bytes of the next complete event, if there is one.
    pub fn next_bytes(&mut self) -> Option<Bytes> {
        let Some(end) = self.find_end() else {
            // The end may begin with the last byte.
            self.searched = self.buffer.len().saturating_sub(EVENT_END.len() - 1);
            return None;
        };
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let bytes = self.next_bytes()?;
        let id = bytes.split(|byte| *byte == b'\n').find_map(parse_event_id);
        Some(StreamEvent { bytes, id })
    }

    /// Returns whether there is a complete event.
    pub fn has_event(&self) -> bool {
        self.find_end().is_some()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the number of buffered bytes, including those of complete events.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    fn find_end(&self) -> Option<usize> {
        let mut windows = self.buffer[self.searched..].windows(EVENT_END.len());
        let start = windows.position(|window| window == EVENT_END)?;
        Some(self.searched + start + EVENT_END.len())
    }
}

fn parse_event_id(line: &[u8]) -> Option<u64> {
    let text = line.strip_prefix(b"id:")?.trim_ascii();
    std::str::from_utf8(text).ok()?.parse().ok()
}

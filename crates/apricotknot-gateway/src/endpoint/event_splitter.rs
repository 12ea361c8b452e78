//! Splitting of a byte stream into complete server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event of a stream, in bytes.
pub const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Ways in which an event ends: an empty line, after a line that ends with LF, CR LF or CR.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];

/// Length of the longest one, in bytes.
const MAX_END_BYTES: usize = 3;

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
            self.searched = self.buffer.len().saturating_sub(MAX_END_BYTES - 1);
            return None;
        };
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let bytes = self.next_bytes()?;
        let id = lines_of(&bytes).find_map(parse_event_id);
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
        let unsearched = &self.buffer[self.searched..];
        let mut line_ends = (0..unsearched.len()).filter(|index| is_line_end(unsearched[*index]));
        line_ends.find_map(|index| {
            let end = EVENT_ENDS.iter().find(|end| unsearched[index..].starts_with(end))?;
            Some(self.searched + index + end.len())
        })
    }
}

/// Returns the lines of an event, and empty ones where a line ends with CR LF.
pub fn lines_of(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|byte| is_line_end(*byte))
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

fn parse_event_id(line: &[u8]) -> Option<u64> {
    let text = line.strip_prefix(b"id:")?.trim_ascii();
    std::str::from_utf8(text).ok()?.parse().ok()
}

//! Splits a byte stream into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Holds one whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Bytes as the endpoint sent them, with the empty line that ends the event.
    pub bytes: Bytes,
    /// Number of the event, where it has one.
    pub id: Option<u64>,
}

/// Joins parts of a stream and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds a part of the stream.
    pub fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// Takes the bytes of the next whole event, if there is one.
    pub fn next_bytes(&mut self) -> Option<Bytes> {
        let end = self.find_end()?;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Takes the next whole event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let bytes = self.next_bytes()?;
        let id = bytes.split(|byte| *byte == b'\n').find_map(parse_event_id);
        Some(StreamEvent { bytes, id })
    }

    /// Returns whether a whole event can be taken.
    pub fn has_event(&self) -> bool {
        self.find_end().is_some()
    }

    /// Returns whether no part of an event is left over.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the number of bytes of the event that is not whole.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    fn find_end(&self) -> Option<usize> {
        let start = self.buffer.windows(EVENT_END.len()).position(|window| window == EVENT_END)?;
        Some(start + EVENT_END.len())
    }
}

fn parse_event_id(line: &[u8]) -> Option<u64> {
    let text = line.strip_prefix(b"id:")?.trim_ascii();
    std::str::from_utf8(text).ok()?.parse().ok()
}

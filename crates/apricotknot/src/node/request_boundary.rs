//! Finds the end of each request in the bytes of a connection.
//!
//! The server decodes a pipelined request with the codec that has still to encode the present answer,
//! which then takes its form: without a body for HEAD, or with the wish to close of the later one. So
//! the server gets the bytes of a request only once the one before it is answered.

use crate::front::RequestFraming;
use crate::front::RequestProgress;

/// Position within a chunked body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChunkPosition {
    /// Within the size of a chunk, of which this much is known.
    Size(u64),
    /// After the size, before the end of its line.
    Extension(u64),
    /// Within the bytes of a chunk, of which so many are left; with 0 left, within the line end behind
    /// them.
    Data(u64),
    /// Within a trailer line, whether it has any characters so far.
    Trailer { is_empty: bool },
}

/// Where in a request the connection is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Position {
    /// Within a head, after so many characters of its present line; no line has come if `is_first`.
    Head { line: usize, is_first: bool },
    /// After a head, until the server has read it.
    HeadEnd,
    /// Within a body of which so many bytes are left.
    Body(u64),
    /// Within a chunked body.
    Chunks(ChunkPosition),
    /// After the request, until it is answered.
    End,
}

/// Finds the end of each request of one connection.
#[derive(Debug)]
pub(super) struct RequestBoundary {
    position: Position,
    /// Heads that were passed on to the server.
    heads: u64,
}

/// Start of a head.
const HEAD_START: Position = Position::Head { line: 0, is_first: true };

impl RequestBoundary {
    /// Creates the boundary of a new connection.
    pub(super) fn new() -> Self {
        Self { position: HEAD_START, heads: 0 }
    }

    /// Takes over what the server has made of the requests so far.
    pub(super) fn update(&mut self, progress: RequestProgress) {
        if matches!(self.position, Position::Head { .. }) {
            return;
        }
        if progress.ended >= self.heads {
            self.position = HEAD_START;
        } else if progress.begun >= self.heads && self.position == Position::HeadEnd {
            self.position = match progress.framing {
                RequestFraming::None | RequestFraming::Length(0) => Position::End,
                RequestFraming::Length(length) => Position::Body(length),
                RequestFraming::Chunked => Position::Chunks(ChunkPosition::Size(0)),
            };
        }
    }

    /// Takes the bytes that belong to the present request; returns how many.
    pub(super) fn take(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() && self.takes_bytes() {
            taken += self.step(&bytes[taken..]);
        }
        taken
    }

    /// Takes one byte, or more of a body; returns how many.
    fn step(&mut self, bytes: &[u8]) -> usize {
        let byte = bytes[0];
        let mut taken = 1;
        self.position = match self.position {
            Position::Head { line: 0, is_first: false } if byte == b'\n' => {
                self.heads += 1;
                Position::HeadEnd
            },
            Position::Head { line: 0, is_first: true } if byte == b'\n' => HEAD_START,
            Position::Head { .. } if byte == b'\n' => Position::Head { line: 0, is_first: false },
            Position::Head { line, is_first } => {
                Position::Head { line: line + usize::from(byte != b'\r'), is_first }
            },
            Position::Body(left) => {
                let available = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
                taken = usize::try_from(left.min(available)).unwrap_or(bytes.len());
                match left.saturating_sub(available) {
                    0 => Position::End,
                    left => Position::Body(left),
                }
            },
            Position::Chunks(position) => next_chunk_position(position, byte),
            Position::HeadEnd | Position::End => self.position,
        };
        taken
    }
}

impl RequestBoundary {
    /// Returns whether the next bytes belong to the present request.
    pub(super) fn takes_bytes(&self) -> bool {
        !matches!(self.position, Position::HeadEnd | Position::End)
    }
}

fn next_chunk_position(position: ChunkPosition, byte: u8) -> Position {
    Position::Chunks(match position {
        ChunkPosition::Size(0) | ChunkPosition::Extension(0) if byte == b'\n' => {
            ChunkPosition::Trailer { is_empty: true }
        },
        ChunkPosition::Size(size) | ChunkPosition::Extension(size) if byte == b'\n' => {
            ChunkPosition::Data(size)
        },
        ChunkPosition::Size(size) => match (byte as char).to_digit(16) {
            Some(digit) => ChunkPosition::Size((size << 4) | u64::from(digit)),
            None => ChunkPosition::Extension(size),
        },
        ChunkPosition::Extension(size) => ChunkPosition::Extension(size),
        ChunkPosition::Data(0) if byte == b'\n' => ChunkPosition::Size(0),
        ChunkPosition::Data(left) => ChunkPosition::Data(left.saturating_sub(1)),
        ChunkPosition::Trailer { is_empty: true } if byte == b'\n' => return Position::End,
        ChunkPosition::Trailer { .. } if byte == b'\n' => ChunkPosition::Trailer { is_empty: true },
        ChunkPosition::Trailer { is_empty } => {
            ChunkPosition::Trailer { is_empty: is_empty && byte == b'\r' }
        },
    })
}

//! Numbered and sealed frames of an authenticated connection.
//!
//! A frame consists of the length of the payload (four bytes, big-endian), the payload and a seal.
//! The seal is a truncated HMAC-SHA-256 over the number of the frame and the payload. The number is
//! not sent: both ends count the frames of each direction from zero.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures::io::AsyncRead;
use futures::io::AsyncWrite;
use hmac::Mac;
use thiserror::Error;

use super::TrafficCounters;
use super::handshake::SessionKeys;
use super::key::KeyedMac;

/// Maximum payload of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 65_536;

/// Size of the length field that starts a frame, in bytes.
const HEADER_BYTES: usize = 4;

/// Size of a seal, in bytes.
const SEAL_BYTES: usize = 16;

/// Reports why a received frame was refused.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum FrameError {
    /// The frame is empty or longer than [`MAX_FRAME_BYTES`].
    #[error(
        "frame refused: {given} bytes given, 1 to {MAX_FRAME_BYTES} allowed; connection closed"
    )]
    WrongLength {
        /// Payload length that the frame declares, in bytes.
        given: usize,
    },
    /// The frame was altered, repeated, omitted or reordered.
    #[error("frame {number} refused: its seal does not match; connection closed")]
    WrongSeal {
        /// Number of the frame that was expected next, counted from zero.
        number: u64,
    },
}

impl From<FrameError> for io::Error {
    fn from(error: FrameError) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}

/// Returns the MAC over the number of a frame and its payload.
fn frame_mac(mac: &KeyedMac, number: u64, payload: &[u8]) -> KeyedMac {
    mac.clone().chain_update(number.to_be_bytes()).chain_update(payload)
}

/// Writes a byte stream as sealed frames.
///
/// Bytes are buffered until a flush, or until [`MAX_FRAME_BYTES`] fill a frame.
pub struct FrameWriter<W> {
    inner: W,
    mac: KeyedMac,
    next_number: u64,
    payload: Vec<u8>,
    sealed_bytes: Vec<u8>,
    written_bytes: usize,
    counters: Arc<TrafficCounters>,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// Creates a writer over `inner` that seals with the outgoing key of `keys`.
    pub fn new(inner: W, keys: &SessionKeys, counters: Arc<TrafficCounters>) -> Self {
        Self {
            inner,
            mac: keys.outgoing.clone(),
            next_number: 0,
            payload: Vec::new(),
            sealed_bytes: Vec::new(),
            written_bytes: 0,
            counters,
        }
    }

    /// Moves the buffered payload into a sealed frame; does nothing when the payload is empty.
    fn seal_payload(&mut self) {
        if self.payload.is_empty() {
            return;
        }
        let tag = frame_mac(&self.mac, self.next_number, &self.payload).finalize().into_bytes();
        let length = self.payload.len();
        self.next_number += 1;
        self.sealed_bytes.extend((length as u32).to_be_bytes());
        self.sealed_bytes.append(&mut self.payload);
        self.sealed_bytes.extend(&tag[..SEAL_BYTES]);
        self.counters.count_sent(1, HEADER_BYTES + length + SEAL_BYTES);
    }

    /// Writes all sealed frames to the inner writer.
    fn poll_write_sealed(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.written_bytes < self.sealed_bytes.len() {
            let remaining = &self.sealed_bytes[self.written_bytes..];
            let count = ready!(Pin::new(&mut self.inner).poll_write(context, remaining))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.written_bytes += count;
        }
        self.sealed_bytes.clear();
        self.written_bytes = 0;
        Poll::Ready(Ok(()))
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for FrameWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.payload.len() == MAX_FRAME_BYTES {
            ready!(self.poll_write_sealed(context))?;
            self.seal_payload();
        }
        let count = bytes.len().min(MAX_FRAME_BYTES - self.payload.len());
        self.payload.extend_from_slice(&bytes[..count]);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.seal_payload();
        ready!(self.poll_write_sealed(context))?;
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.as_mut().poll_flush(context))?;
        Pin::new(&mut self.inner).poll_close(context)
    }
}

/// Reads sealed frames and returns their payload as a byte stream.
///
/// A frame with a wrong length or seal fails the read with a [`FrameError`]; its payload is not
/// returned.
pub struct FrameReader<R> {
    inner: R,
    mac: KeyedMac,
    next_number: u64,
    buffer: Vec<u8>,
    filled_bytes: usize,
    payload_end: usize,
    consumed: usize,
    counters: Arc<TrafficCounters>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader over `inner` that checks seals with the incoming key of `keys`.
    pub fn new(inner: R, keys: &SessionKeys, counters: Arc<TrafficCounters>) -> Self {
        Self {
            inner,
            mac: keys.incoming.clone(),
            next_number: 0,
            buffer: vec![0; HEADER_BYTES],
            filled_bytes: 0,
            payload_end: 0,
            consumed: 0,
            counters,
        }
    }

    /// Reads one whole frame. Returns false if the stream ended before a new frame.
    fn poll_frame(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        loop {
            if self.filled_bytes == self.buffer.len() {
                if self.filled_bytes > HEADER_BYTES {
                    return Poll::Ready(self.open_frame().map(|()| true));
                }
                self.resize_buffer()?;
            }
            let space = &mut self.buffer[self.filled_bytes..];
            let count = ready!(Pin::new(&mut self.inner).poll_read(context, space))?;
            if count == 0 {
                return match self.filled_bytes {
                    0 => Poll::Ready(Ok(false)),
                    _ => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
                };
            }
            self.filled_bytes += count;
        }
    }

    /// Resizes the buffer to the frame whose header it holds.
    fn resize_buffer(&mut self) -> io::Result<()> {
        let mut header = [0; HEADER_BYTES];
        header.copy_from_slice(&self.buffer[..HEADER_BYTES]);
        let length = u32::from_be_bytes(header) as usize;
        if length == 0 || length > MAX_FRAME_BYTES {
            self.counters.count_refused();
            return Err(FrameError::WrongLength { given: length }.into());
        }
        self.buffer.resize(HEADER_BYTES + length + SEAL_BYTES, 0);
        Ok(())
    }

    /// Verifies the seal of the frame in the buffer and makes its payload readable.
    fn open_frame(&mut self) -> io::Result<()> {
        let end = self.buffer.len() - SEAL_BYTES;
        let mac = frame_mac(&self.mac, self.next_number, &self.buffer[HEADER_BYTES..end]);
        if mac.verify_truncated_left(&self.buffer[end..]).is_err() {
            self.counters.count_refused();
            return Err(FrameError::WrongSeal { number: self.next_number }.into());
        }
        self.counters.count_received(1, self.buffer.len());
        self.next_number += 1;
        self.consumed = HEADER_BYTES;
        self.payload_end = end;
        Ok(())
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for FrameReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.consumed == self.payload_end && !ready!(self.poll_frame(context))? {
            return Poll::Ready(Ok(0));
        }
        let count = bytes.len().min(self.payload_end - self.consumed);
        bytes[..count].copy_from_slice(&self.buffer[self.consumed..self.consumed + count]);
        self.consumed += count;
        if self.consumed == self.payload_end {
            self.buffer.truncate(HEADER_BYTES);
            self.filled_bytes = 0;
            self.consumed = 0;
            self.payload_end = 0;
        }
        Poll::Ready(Ok(count))
    }
}

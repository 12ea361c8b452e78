//! Connection to an endpoint through a peer, as the node that uses it sees it.
//!
//! Bytes to the endpoint are sent as they are, after their number if the peer agreed to that. Bytes from
//! the endpoint come in frames: a length of two bytes, and so many bytes. An empty frame states that the
//! endpoint has closed its connection, and in [`EndMode::Confirmed`] that it took the whole request.

use std::io;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use apricotknot_core::types::EndpointId;
use apricotknot_core::types::NodeId;
use bytes::Buf;
use bytes::Bytes;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::RelayError;
use super::relay_message::EndMode;
use super::relay_message::RelayOpening;
use super::relay_message::send_opening;
use crate::endpoint::Delivery;
use crate::endpoint::delivery;
use crate::endpoint::set_socket_options;
use crate::peers::DatagramSeal;

/// Size of the length of a frame, in bytes.
pub(super) const FRAME_HEAD_BYTES: usize = 2;

/// Longest time until a peer has connected to an endpoint, or refused.
///
/// It covers the peer's own time to connect.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// A connection to an endpoint that a peer relays.
#[derive(Debug)]
pub struct RelayedStream {
    stream: TcpStream,
    head: [u8; FRAME_HEAD_BYTES],
    /// Bytes of the present frame's head that have arrived.
    head_length: usize,
    /// Bytes of the present frame that have not arrived yet.
    frame_left: usize,
    has_ended: bool,
    end_mode: EndMode,
    /// Length of the request, as far as it has not been sent yet.
    request_length: Bytes,
}

impl RelayedStream {
    /// Connects `node` to `endpoint` through the peer at `address`.
    ///
    /// # Errors
    ///
    /// Returns why there is no connection; nothing was sent to the endpoint.
    pub async fn open(
        address: SocketAddr,
        node: NodeId,
        endpoint: EndpointId,
        seal: &DatagramSeal,
    ) -> Result<Self, RelayError> {
        let opening = RelayOpening { node, endpoint, nonce: rand::random() };
        let open = async {
            let mut stream = TcpStream::connect(address).await?;
            set_socket_options(&stream)?;
            let end_mode = send_opening(&mut stream, &opening, seal).await?;
            Ok::<_, RelayError>((stream, end_mode))
        };
        let opened = tokio::time::timeout(OPEN_TIMEOUT, open).await;
        let (stream, end_mode) = opened.map_err(|_| RelayError::Timeout(OPEN_TIMEOUT))??;
        Ok(Self {
            stream,
            head: [0; FRAME_HEAD_BYTES],
            head_length: 0,
            frame_left: 0,
            has_ended: false,
            end_mode,
            request_length: Bytes::new(),
        })
    }

    /// States the number of bytes that will be written; call it once, before any of them.
    pub fn state_request_length(&mut self, bytes: u64) {
        if self.end_mode == EndMode::Confirmed {
            self.request_length = Bytes::copy_from_slice(&bytes.to_be_bytes());
        }
    }

    /// Returns what has become of the request, once the peer has stated the end of the answer.
    pub(crate) fn delivery(&self) -> Delivery {
        match self.end_mode {
            EndMode::Immediate => Delivery::Unknown,
            EndMode::Confirmed => Delivery::Acknowledged,
        }
    }

    /// Returns what the peer has taken of the bytes that were sent.
    ///
    /// # Errors
    ///
    /// Returns the error with which the connection to the peer failed.
    pub(crate) fn sent_delivery(&self) -> io::Result<Delivery> {
        delivery(&self.stream)
    }

    fn poll_send_length(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.request_length.is_empty() {
            let stream = Pin::new(&mut self.stream);
            let count = ready!(stream.poll_write(context, &self.request_length))?;
            self.request_length.advance(count);
        }
        Poll::Ready(Ok(()))
    }

    /// Reads until the head of the next frame is complete.
    fn poll_frame_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.head_length < FRAME_HEAD_BYTES {
            let mut buffer = ReadBuf::new(&mut self.head[self.head_length..]);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            match buffer.filled().len() {
                0 => return Poll::Ready(Err(peer_ended())),
                count => self.head_length += count,
            }
        }
        self.head_length = 0;
        self.frame_left = usize::from(u16::from_be_bytes(self.head));
        self.has_ended = self.frame_left == 0;
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for RelayedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.frame_left == 0 && !this.has_ended {
            ready!(this.poll_frame_head(context))?;
        }
        if this.has_ended {
            return Poll::Ready(Ok(()));
        }
        let length = this.frame_left.min(output.remaining());
        let mut part = ReadBuf::new(output.initialize_unfilled_to(length));
        ready!(Pin::new(&mut this.stream).poll_read(context, &mut part))?;
        let count = part.filled().len();
        if count == 0 && length > 0 {
            return Poll::Ready(Err(peer_ended()));
        }
        output.advance(count);
        this.frame_left -= count;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RelayedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_send_length(context))?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_send_length(context))?;
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_send_length(context))?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

fn peer_ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the relaying node ended the connection")
}

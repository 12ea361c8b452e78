//! Connections to endpoints, a node's own and those that a peer relays.

use std::io;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use actix_rt::net::TcpStream;
use apricotknot_core::types::NodeId;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::Delivery;
use super::ExchangeError;
use super::delivery;
use crate::relay::RelayedStream;

/// Longest time to establish a connection to an endpoint.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Silence after which the kernel probes whether the peer of a connection is still reachable.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection counts as broken.
const KEEPALIVE_RETRIES: u32 = 2;

/// A connection to an endpoint.
#[derive(Debug)]
pub enum EndpointConnection {
    /// A connection of this node.
    Direct(TcpStream),
    /// A connection of a peer, which relays its bytes.
    Relayed {
        /// Connection to the peer.
        stream: RelayedStream,
        /// Peer that relays.
        peer: NodeId,
    },
}

impl EndpointConnection {
    /// Returns the node that relays the connection, if one does.
    pub fn relayed_by(&self) -> Option<&NodeId> {
        match self {
            Self::Direct(_) => None,
            Self::Relayed { peer, .. } => Some(peer),
        }
    }

    /// Returns what has become of the bytes that were sent, after the endpoint has ended its answer.
    ///
    /// # Errors
    ///
    /// Returns the error with which the connection failed.
    pub(super) fn delivery(&self) -> io::Result<Delivery> {
        match self {
            Self::Direct(stream) => delivery(stream),
            Self::Relayed { stream, .. } => Ok(stream.delivery()),
        }
    }

    /// Returns what has become of the bytes that were sent, at the other side of this node's own
    /// connection: the endpoint, or the peer that relays.
    ///
    /// # Errors
    ///
    /// Returns the error with which the connection failed.
    pub(super) fn sent_delivery(&self) -> io::Result<Delivery> {
        match self {
            Self::Direct(stream) => delivery(stream),
            Self::Relayed { stream, .. } => stream.sent_delivery(),
        }
    }

    /// States the length of the request, in bytes, before it is sent.
    pub(super) fn state_request_length(&mut self, bytes: u64) {
        if let Self::Relayed { stream, .. } = self {
            stream.state_request_length(bytes);
        }
    }
}

impl AsyncRead for EndpointConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Relayed { stream, .. } => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for EndpointConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Relayed { stream, .. } => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_write_vectored(context, parts),
            Self::Relayed { stream, .. } => Pin::new(stream).poll_write_vectored(context, parts),
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_flush(context),
            Self::Relayed { stream, .. } => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Direct(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Relayed { stream, .. } => Pin::new(stream).poll_shutdown(context),
        }
    }
}

/// Connects to the endpoint at `address`.
///
/// # Errors
///
/// Returns an error for which [`ExchangeError::is_unsent`] holds.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream, ExchangeError> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| ExchangeError::ConnectTimeout(timeout))?
        .map_err(ExchangeError::Unreachable)?;
    set_socket_options(&stream).map_err(ExchangeError::Unreachable)?;
    Ok(stream)
}

/// Sets the options of a connection to an endpoint or a peer.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

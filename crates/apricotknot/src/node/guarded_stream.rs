//! Connection of a client that occupies a bounded part of the node.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use actix_rt::net::TcpStream;
use bytes::BufMut;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio_util::io::poll_read_buf;

use super::request_boundary::RequestBoundary;
use crate::front::ConnectionGuard;

/// Most bytes that are read of later requests while one is answered.
const PIPELINED_BYTES: usize = 1_024;

/// Connection that gives way to others, and reads nothing while its client reads no answers.
pub(super) struct GuardedStream {
    stream: TcpStream,
    guard: Rc<ConnectionGuard>,
    /// Whether output waits for the client, so that requests are not read faster than answers.
    is_blocked: bool,
    boundary: RequestBoundary,
    /// Input that was not passed on yet.
    held: BytesMut,
    /// Whether input was read in this turn of the connection's task; the next turn reads more.
    has_read: bool,
}

impl GuardedStream {
    /// Creates the connection from an accepted stream.
    pub(super) fn new(stream: TcpStream, guard: Rc<ConnectionGuard>) -> Self {
        let (boundary, held) = (RequestBoundary::new(), BytesMut::new());
        Self { stream, guard, is_blocked: false, boundary, held, has_read: false }
    }

    /// Reads at most `most` bytes more of the input; returns how many, 0 at its end.
    fn poll_input(&mut self, context: &mut Context<'_>, most: usize) -> Poll<io::Result<usize>> {
        self.held.reserve(most);
        let stream = Pin::new(&mut self.stream);
        poll_read_buf(stream, context, &mut (&mut self.held).limit(most))
    }

    /// Reads ahead a little while the present request is answered, to notice that the client leaves.
    fn poll_ahead(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.guard.wait_progress(context);
        while self.held.len() < PIPELINED_BYTES {
            let most = PIPELINED_BYTES - self.held.len();
            if ready!(self.poll_input(context, most))? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
        Poll::Pending
    }

    /// Notes whether the client takes output; input is read again once it does.
    fn note_output<T>(&mut self, context: &Context<'_>, written: &Poll<T>) {
        let was_blocked = std::mem::replace(&mut self.is_blocked, written.is_pending());
        if was_blocked && !self.is_blocked {
            context.waker().wake_by_ref();
        }
    }
}

impl GuardedStream {
    /// Returns what the connection occupies.
    pub(super) fn guard(&self) -> &Rc<ConnectionGuard> {
        &self.guard
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.guard.poll_close(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if std::mem::take(&mut self.has_read) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let this = &mut *self;
        if this.is_blocked {
            return Poll::Pending;
        }
        this.boundary.update(this.guard.progress());
        if !this.boundary.takes_bytes() {
            return this.poll_ahead(context);
        }
        let most = this.guard.input_limit().min(output.remaining());
        if this.held.is_empty() && ready!(this.poll_input(context, most))? == 0 {
            return Poll::Ready(Ok(()));
        }
        let available = this.held.len().min(most);
        let count = this.boundary.take(&this.held[..available]);
        output.put_slice(&this.held.split_to(count));
        this.has_read = true;
        Poll::Ready(this.guard.record_input(count).map_err(io::Error::other))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_output(context, &written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

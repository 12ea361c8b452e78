//! Connection of a client that occupies a bounded part of the node.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use actix_rt::net::TcpStream;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::front::ConnectionGuard;

/// Connection that gives way to others, and reads nothing while its client reads no answers.
pub(super) struct GuardedStream {
    stream: TcpStream,
    guard: Rc<ConnectionGuard>,
    /// Whether output waits for the client, so that requests are not read faster than answers.
    is_blocked: bool,
    /// Whether input was read in this turn of the connection's task; the next turn reads more.
    has_read: bool,
}

impl GuardedStream {
    /// Creates the connection from an accepted stream.
    pub(super) fn new(stream: TcpStream, guard: Rc<ConnectionGuard>) -> Self {
        Self { stream, guard, is_blocked: false, has_read: false }
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
        let most = self.guard.input_limit(context).min(output.remaining());
        if self.is_blocked || most == 0 {
            return Poll::Pending;
        }
        let mut part = ReadBuf::new(output.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let count = part.filled().len();
        output.advance(count);
        self.has_read = count > 0;
        Poll::Ready(self.guard.record_input(count).map_err(io::Error::other))
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

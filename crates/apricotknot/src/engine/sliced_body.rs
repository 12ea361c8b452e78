//! Request body that is written to the connection in slices.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use actix_http::body::BodySize;
use actix_http::body::MessageBody;
use bytes::Bytes;

/// Most bytes that are passed to the connection at a time.
const SLICE_BYTES: usize = 4_096;

/// Passes a long body to the connection in small slices.
///
/// The connection copies each slice into a write buffer, which it keeps until the answer has
/// ended. If the body were passed whole, each stream would hold a buffer of the body's size.
#[derive(Debug)]
pub(super) struct SlicedBody {
    remaining: Bytes,
}

impl SlicedBody {
    /// Creates a body of `bytes`.
    pub(super) fn new(bytes: Bytes) -> Self {
        Self { remaining: bytes }
    }
}

impl MessageBody for SlicedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.remaining.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.remaining.len().min(SLICE_BYTES);
        Poll::Ready(Some(Ok(self.remaining.split_to(length))))
    }
}

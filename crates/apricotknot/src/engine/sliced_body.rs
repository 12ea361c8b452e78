//! A request body that is written piece by piece.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use actix_http::body::BodySize;
use actix_http::body::MessageBody;
use bytes::Bytes;

/// Bytes written at once.
const SLICE_BYTES: usize = 4_096;

/// Gives a long body to the connection in small pieces.
///
/// The connection copies each piece into a write buffer that it keeps as long as the answer
/// flows. A body given whole would hold that much memory for each stream.
#[derive(Debug)]
pub(super) struct SlicedBody {
    remaining: Bytes,
}

impl SlicedBody {
    /// Creates the body that holds `bytes`.
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

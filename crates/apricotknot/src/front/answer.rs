//! The channel from a request's driver to its caller's connection.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use actix_http::body::BodySize;
use actix_http::body::MessageBody;
use apricotknot_core::outcome::CallerError;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Pieces of an answer that wait for a slow caller; beyond them the engine is held back.
const MAX_BUFFERED_CHUNKS: usize = 8;

/// Says that an answer was cut off before its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the answer was cut off before its end")]
pub struct AnswerTruncatedError;

/// Says how an answer begins.
#[derive(Debug)]
pub enum AnswerHead {
    /// An answer follows in the body.
    Started {
        /// Media type of the answer.
        content_type: String,
    },
    /// There is no answer.
    Failed(CallerError),
}

enum AnswerChunk {
    Data(Bytes),
    End,
}

/// Gives an answer piece by piece; waits while the caller is slow.
pub struct AnswerSender {
    head: Option<oneshot::Sender<AnswerHead>>,
    chunks: mpsc::Sender<AnswerChunk>,
}

/// Carries an answer as a response body.
pub struct AnswerBody {
    chunks: mpsc::Receiver<AnswerChunk>,
    is_complete: bool,
    is_truncated: bool,
}

/// Creates the channel of one answer.
pub fn answer_channel() -> (AnswerSender, oneshot::Receiver<AnswerHead>, AnswerBody) {
    let (head, head_receiver) = oneshot::channel();
    let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let sender = AnswerSender { head: Some(head), chunks: sender };
    (sender, head_receiver, AnswerBody { chunks, is_complete: false, is_truncated: false })
}

impl AnswerSender {
    /// Begins the answer; does nothing where it has begun.
    pub fn start(&mut self, content_type: &str) {
        if let Some(head) = self.head.take() {
            let _ = head.send(AnswerHead::Started { content_type: content_type.to_owned() });
        }
    }

    /// Ends the request without an answer; does nothing where one has begun.
    pub fn fail(&mut self, error: CallerError) {
        if let Some(head) = self.head.take() {
            let _ = head.send(AnswerHead::Failed(error));
        }
    }

    /// Sends a piece, waiting for room.
    pub async fn send(&self, bytes: Bytes) {
        // A caller that is gone is noticed by `closed`.
        let _ = self.chunks.send(AnswerChunk::Data(bytes)).await;
    }

    /// Ends the answer as whole, waiting for room. Dropping the sender instead cuts it.
    pub async fn finish(self) {
        let _ = self.chunks.send(AnswerChunk::End).await;
    }

    /// Waits until the caller is gone.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

impl MessageBody for AnswerBody {
    type Error = AnswerTruncatedError;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, AnswerTruncatedError>>> {
        if self.is_complete {
            return Poll::Ready(None);
        }
        match std::task::ready!(self.chunks.poll_recv(context)) {
            Some(AnswerChunk::Data(bytes)) => Poll::Ready(Some(Ok(bytes))),
            Some(AnswerChunk::End) => {
                self.is_complete = true;
                Poll::Ready(None)
            },
            None if self.is_truncated => Poll::Ready(Some(Err(AnswerTruncatedError))),
            None => {
                // The server discards what it has not flushed when a body fails, so that it gets
                // one turn to flush the last piece.
                self.is_truncated = true;
                context.waker().wake_by_ref();
                Poll::Pending
            },
        }
    }
}

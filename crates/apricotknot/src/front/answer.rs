//! Channel that carries an answer from the request's driver to the caller's connection.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use actix_http::body::BodySize;
use actix_http::body::MessageBody;
use apricotknot_core::outcome::CallerError;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Most chunks of an answer that are buffered for a slow caller.
///
/// Once the buffer is full, the driver stops reading from the engine until the caller has read.
const MAX_BUFFERED_CHUNKS: usize = 8;

/// Reports that the sender was dropped before it completed the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the answer was truncated before its end")]
pub struct AnswerTruncatedError;

/// Tells the caller's connection whether an answer follows.
#[derive(Debug)]
pub enum AnswerHead {
    /// The answer has started; its chunks arrive through the [`AnswerBody`].
    Started {
        /// Media type of the answer.
        content_type: String,
    },
    /// The request ended without an answer, for this reason.
    Failed(CallerError),
}

enum AnswerChunk {
    Data(Bytes),
    End,
}

/// Sends an answer chunk by chunk, and waits while the buffer for a slow caller is full.
///
/// Dropping it before [`finish`](Self::finish) truncates the answer.
pub struct AnswerSender {
    head: Option<oneshot::Sender<AnswerHead>>,
    chunks: mpsc::Sender<AnswerChunk>,
}

/// Streams an answer as the body of an HTTP response.
pub struct AnswerBody {
    chunks: mpsc::Receiver<AnswerChunk>,
    is_complete: bool,
    is_truncated: bool,
}

/// Creates the channel of one answer: its sender, the receiver of its head, and its body.
pub fn answer_channel() -> (AnswerSender, oneshot::Receiver<AnswerHead>, AnswerBody) {
    let (head, head_receiver) = oneshot::channel();
    let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let sender = AnswerSender { head: Some(head), chunks: sender };
    (sender, head_receiver, AnswerBody { chunks, is_complete: false, is_truncated: false })
}

impl AnswerSender {
    /// Starts the answer; does nothing if the answer has already started or failed.
    pub fn start(&mut self, content_type: &str) {
        if let Some(head) = self.head.take() {
            let _ = head.send(AnswerHead::Started { content_type: content_type.to_owned() });
        }
    }

    /// Ends the request with `error` instead of an answer; does nothing if the answer has started.
    pub fn fail(&mut self, error: CallerError) {
        if let Some(head) = self.head.take() {
            let _ = head.send(AnswerHead::Failed(error));
        }
    }

    /// Sends a chunk; waits while the buffer is full.
    ///
    /// The chunk is discarded if the caller has disconnected.
    pub async fn send(&self, bytes: Bytes) {
        // The driver learns of a disconnected caller from `closed`.
        let _ = self.chunks.send(AnswerChunk::Data(bytes)).await;
    }

    /// Marks the answer as complete; waits while the buffer is full.
    ///
    /// Dropping the sender instead truncates the answer.
    pub async fn finish(self) {
        let _ = self.chunks.send(AnswerChunk::End).await;
    }

    /// Waits until the caller has disconnected, that is, until the [`AnswerBody`] is dropped.
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
                // When a body fails, the server discards the data that it has not flushed. One more
                // poll before the error gives it time to flush the last chunk.
                self.is_truncated = true;
                context.waker().wake_by_ref();
                Poll::Pending
            },
        }
    }
}

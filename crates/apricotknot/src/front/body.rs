//! Bodies of the HTTP responses to callers and operators.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use actix_http::body::BodySize;
use actix_http::body::MessageBody;
use apricotknot_gateway::endpoint::AnswerMemory;
use bytes::Bytes;

use super::AnswerBody;
use super::AnswerTruncatedError;

/// Bytes of a held body that are written at a time; the server's buffer copies them.
const HELD_PART_BYTES: usize = 64 * 1_024;

/// Body of an HTTP response, either buffered in memory or streamed.
pub enum ResponseBody {
    /// An answer that is forwarded from an endpoint while it arrives.
    Streamed(AnswerBody),
    /// A body whose bytes and length are known before the head is sent.
    Buffered(Bytes),
    /// As [`Buffered`](Self::Buffered), with memory that counts until the caller has read it.
    Held(Bytes, Arc<AnswerMemory>),
}

impl MessageBody for ResponseBody {
    type Error = AnswerTruncatedError;

    fn size(&self) -> BodySize {
        match self {
            Self::Streamed(answer) => answer.size(),
            Self::Buffered(bytes) | Self::Held(bytes, _) => BodySize::Sized(bytes.len() as u64),
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, AnswerTruncatedError>>> {
        match self.get_mut() {
            Self::Streamed(answer) => Pin::new(answer).poll_next(context),
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Self::Held(bytes, _) if bytes.is_empty() => Poll::Ready(None),
            Self::Held(bytes, _) => {
                let length = bytes.len().min(HELD_PART_BYTES);
                Poll::Ready(Some(Ok(bytes.split_to(length))))
            },
        }
    }
}

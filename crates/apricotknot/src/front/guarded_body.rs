//! Body of a response that keeps what its request occupies until it has been sent.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use actix_http::body::BodySize;
use actix_http::body::MessageBody;
use bytes::Bytes;

use super::AnswerTruncatedError;
use super::RequestGuard;
use super::ResponseBody;

/// Body of a response, with what its request occupies.
pub struct GuardedBody {
    body: ResponseBody,
    _request: RequestGuard,
}

impl GuardedBody {
    /// Creates the body of the answer to the request of `guard`.
    pub fn new(body: ResponseBody, guard: RequestGuard) -> Self {
        Self { body, _request: guard }
    }
}

impl MessageBody for GuardedBody {
    type Error = AnswerTruncatedError;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, AnswerTruncatedError>>> {
        Pin::new(&mut self.get_mut().body).poll_next(context)
    }
}

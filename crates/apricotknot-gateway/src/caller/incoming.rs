//! A request as a caller sent it.

use actix_http::RequestHead;
use bytes::Bytes;

/// Holds one whole request.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Head of the request.
    pub head: RequestHead,
    /// Body of the request.
    pub body: Bytes,
}

//! A request as the caller sent it.

use actix_http::RequestHead;
use bytes::Bytes;

/// Holds one complete request.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Head of the request.
    pub head: RequestHead,
    /// Body of the request, empty if it has none.
    pub body: Bytes,
}

//! Sizes of the parts of requests and answers.

use actix_http::RequestHead;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::HeaderMap;

/// Bytes of a header line beside its name and value: a colon, a space and the line end.
const HEADER_LINE_OVERHEAD: usize = 4;

/// Returns the size of a request's target and headers, in bytes.
pub(super) fn head_bytes(head: &RequestHead) -> usize {
    let target = head.uri.path_and_query().map_or(1, |target| target.as_str().len());
    let headers = head.headers.iter();
    target
        + headers
            .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD)
            .sum::<usize>()
}

/// Returns the length that a message declares for its body, in bytes, if it does.
pub(crate) fn declared_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

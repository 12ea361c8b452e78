//! A stand-in's reply to a request.

use std::io;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use futures::Stream;
use serde_json::Value;

/// Says how the server replies to a request.
pub(crate) enum HttpReply {
    /// The response is sent.
    Answer(Response<BoxBody>),
    /// The connection is closed without an answer.
    Disconnect,
    /// No answer is ever sent, and the connection stays open.
    Hang,
}

impl HttpReply {
    /// Creates an answer with a JSON body.
    pub(crate) fn json(status: u16, value: &Value) -> Self {
        Self::bytes(status, "application/json", Bytes::from(value.to_string()))
    }

    /// Creates an answer whose complete body is known.
    pub(crate) fn bytes(status: u16, content_type: &'static str, body: Bytes) -> Self {
        let mut response = Response::with_body(status_code(status), BoxBody::new(body));
        response.headers_mut().insert(
            HeaderName::from_static("content-type"),
            HeaderValue::from_static(content_type),
        );
        Self::Answer(response)
    }

    /// Creates an answer whose body is streamed.
    pub(crate) fn stream<S>(content_type: &'static str, stream: S) -> Self
    where
        S: Stream<Item = Result<Bytes, io::Error>> + 'static,
    {
        let body = BoxBody::new(BodyStream::new(Box::pin(stream)));
        let mut response = Response::with_body(StatusCode::OK, body);
        response.headers_mut().insert(
            HeaderName::from_static("content-type"),
            HeaderValue::from_static(content_type),
        );
        Self::Answer(response)
    }

    /// Adds a header; has no effect on a reply that is not an answer, or for an invalid value.
    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Self {
        if let Self::Answer(response) = &mut self
            && let Ok(value) = HeaderValue::from_str(value)
        {
            response.headers_mut().insert(HeaderName::from_static(name), value);
        }
        self
    }
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

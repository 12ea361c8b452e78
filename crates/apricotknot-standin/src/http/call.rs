//! A request with its complete body.

use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use serde_json::Value;

/// Holds one request with its complete body.
#[derive(Debug)]
pub(crate) struct HttpCall {
    /// Method.
    pub(crate) method: Method,
    /// Path without the query.
    pub(crate) path: String,
    /// Query without the question mark; empty if there is none.
    pub(crate) query: String,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

impl HttpCall {
    /// Returns the header `name` as text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the query parameter `name`, without percent-decoding.
    pub(crate) fn query_parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns the body as JSON; null if it is not JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

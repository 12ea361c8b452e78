//! Requests and answers of the operators' interface.

use std::sync::Arc;

use apricotknot_core::operators::ErrorAnswer;
use apricotknot_core::operators::ErrorDetail;
use apricotknot_core::types::ExecutionCertainty;
use awc::http::Method;
use awc::http::StatusCode;
use bytes::Bytes;
use serde::Serialize;

/// Holds one request of an operator, as read from HTTP.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: Arc<str>,
    /// Query without the question mark; empty if the request has none.
    pub query: Arc<str>,
    /// Value of the `Authorization` header, if present.
    pub authorization: Option<Arc<str>>,
    /// Body.
    pub body: Bytes,
}

impl ApiRequest {
    /// Creates a request without a query, an `Authorization` header or a body.
    pub fn new(method: impl Into<Method>, path: impl Into<Arc<str>>) -> Self {
        Self {
            method: method.into(),
            path: path.into(),
            query: Arc::from(""),
            authorization: None,
            body: Bytes::new(),
        }
    }

    /// Sets the query.
    pub fn query(mut self, query: impl Into<Arc<str>>) -> Self {
        self.query = query.into();
        self
    }

    /// Sets the value of the `Authorization` header.
    pub fn authorization(mut self, authorization: impl Into<Option<Arc<str>>>) -> Self {
        self.authorization = authorization.into();
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the value of the first query parameter called `name`; it is not percent-decoded.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }
}

/// Holds the answer to an operator, whose body is JSON.
#[derive(Clone, Debug)]
pub struct ApiAnswer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
    /// Value of the `x-executed` header; set in error answers only.
    pub executed: Option<ExecutionCertainty>,
}

impl ApiAnswer {
    /// Creates an answer with status 200.
    pub fn ok<T: Serialize>(body: &T) -> Self {
        Self { status: StatusCode::OK, body: encode(body), executed: None }
    }

    /// Creates an answer with status 202 to a change that is in force but not stored.
    pub fn not_durable<T: Serialize>(body: &T) -> Self {
        Self { status: StatusCode::ACCEPTED, ..Self::ok(body) }
    }
}

impl From<ErrorDetail> for ApiAnswer {
    fn from(error: ErrorDetail) -> Self {
        let status = StatusCode::from_u16(error.code.status());
        let executed = Some(error.executed);
        Self {
            status: status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            body: encode(&ErrorAnswer { error }),
            executed,
        }
    }
}

fn encode<T: Serialize>(body: &T) -> Bytes {
    serde_json::to_vec(body).map(Bytes::from).unwrap_or_default()
}

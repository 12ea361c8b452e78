//! HTTP client of a caller.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use actix_http::header::HeaderMap;
use awc::Client;
use awc::ClientResponse;
use awc::Connector;
use bytes::Bytes;
use serde_json::Value;

use super::AnswerStream;
use super::FleetError;

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 100_000;

/// Maximum size of the body of an answer without streaming, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Holds an answer with its complete body.
#[derive(Clone, Debug)]
pub struct FleetAnswer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl FleetAnswer {
    /// Returns the header `name` as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as JSON; null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the text of a completion without streaming; empty if the answer has none.
    pub fn completion_text(&self) -> String {
        let choice = &self.json()["choices"][0];
        let text = choice["text"].as_str().or_else(|| choice["message"]["content"].as_str());
        text.unwrap_or_default().to_owned()
    }
}

/// Sends requests as callers and tests do.
#[derive(Clone)]
pub struct FleetClient {
    client: Client,
}

impl Default for FleetClient {
    fn default() -> Self {
        Self::new()
    }
}

impl FleetClient {
    /// Creates a client that limits only the time to connect.
    pub fn new() -> Self {
        let connector = Connector::new().limit(MAX_CONNECTIONS).timeout(Duration::from_secs(10));
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client }
    }

    /// Sends a request and returns the complete answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the answer is complete.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<FleetAnswer, FleetError> {
        let uri = format!("http://{address}{path}");
        let mut response = self.send(method, &uri, headers, body.into()).await?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = response.body().limit(MAX_BODY_BYTES).await;
        let body = body.map_err(|error| FleetError::NoAnswer { uri, reason: error.to_string() })?;
        Ok(FleetAnswer { status, headers, body })
    }

    /// Sends a `GET` request without headers.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the answer is complete.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<FleetAnswer, FleetError> {
        self.call(Method::GET, address, path, &[], Bytes::new()).await
    }

    /// Sends a `POST` request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the answer is complete.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<FleetAnswer, FleetError> {
        self.call(Method::POST, address, path, headers, body.to_string()).await
    }

    /// Sends a `POST` request with a JSON body and returns the streamed answer.
    ///
    /// The inner `Err` holds an answer whose status is not a success.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the head of the answer.
    pub async fn stream(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Result<AnswerStream, FleetAnswer>, FleetError> {
        let uri = format!("http://{address}{path}");
        let body = Bytes::from(body.to_string());
        let sent_at = Instant::now();
        let mut response = self.send(Method::POST, &uri, headers, body).await?;
        if response.status().is_success() {
            return Ok(Ok(AnswerStream::new(response, sent_at)));
        }
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = response.body().limit(MAX_BODY_BYTES).await.unwrap_or_default();
        Ok(Err(FleetAnswer { status, headers, body }))
    }

    async fn send(
        &self,
        method: Method,
        uri: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<ClientResponse, FleetError> {
        // On a reused connection, each body would wait until the head is acknowledged.
        let mut request = self.client.request(method, uri).force_close();
        request = request.insert_header(("content-type", "application/json"));
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let sent = request.send_body(body).await;
        sent.map_err(|error| FleetError::NoAnswer {
            uri: uri.to_owned(),
            reason: error.to_string(),
        })
    }
}

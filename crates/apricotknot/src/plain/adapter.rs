//! HTTP client for plain services.

use std::sync::Arc;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::RequestHead;
use actix_http::ResponseHead;
use actix_http::ServiceConfig;
use actix_http::Uri;
use actix_http::header::HOST;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use apricotknot_core::types::AttemptId;
use apricotknot_gateway::endpoint::AnswerBudget;
use apricotknot_gateway::endpoint::AnswerMemory;
use apricotknot_gateway::endpoint::EndpointExchange;
use apricotknot_gateway::endpoint::EndpointRequest;
use apricotknot_gateway::endpoint::ExchangeError;
use apricotknot_gateway::endpoint::RequestRest;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::time::Instant;

use super::PlainAnswer;
use super::PlainClient;
use super::PlainError;
use super::PlainErrorKind;
use super::PlainRequest;
use super::upload_rest::UploadRest;
use crate::front::SharedContext;
use crate::transport::ATTEMPT_HEADER;
use crate::transport::CONNECT_TIMEOUT;
use crate::transport::EXECUTED_HEADER;

/// Largest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Calls plain services over HTTP; each traffic thread uses its own.
///
/// Each call has a connection of its own, so what a service sends late or twice cannot be read as
/// the answer to another call.
#[derive(Clone)]
pub struct HttpPlainClient {
    http: ServiceConfig,
    answer_budget: Arc<AnswerBudget>,
    /// Node that the client belongs to, if any; it waits for uploads as it stops.
    node: Option<SharedContext>,
}

impl HttpPlainClient {
    /// Creates a client whose answers count in `answer_budget`.
    pub fn new(answer_budget: Arc<AnswerBudget>) -> Self {
        Self { http: ServiceConfig::default(), answer_budget, node: None }
    }

    /// Sets the node that the client belongs to.
    #[must_use]
    pub fn node(mut self, node: SharedContext) -> Self {
        self.node = Some(node);
        self
    }

    /// Sends a call and reads the whole answer.
    ///
    /// A status of 412, 429 or 503 counts as a refusal only if the service states that it did no work.
    async fn exchange(&self, request: PlainRequest) -> Result<PlainAnswer, PlainError> {
        let (end, body_length) = (Instant::now() + request.timeout, request.body.len());
        let request = endpoint_request(request)?;
        let opening = EndpointExchange::open(&self.http, request);
        let mut exchange = opening.await.map_err(|error| exchange_error(&error))?;
        let head = exchange.read_head().await.map_err(|error| exchange_error(&error))?;
        let ResponseHead { status, headers, .. } = head;
        let is_success = status.is_success();
        let (status, echoed) = (status.as_u16(), echoed_attempt(&headers)?);
        if header_text(&headers, EXECUTED_HEADER) == Some("no") && matches!(status, 412 | 429 | 503)
        {
            let delay = header_text(&headers, "retry-after").and_then(|text| text.parse().ok());
            return Err(PlainError::new(PlainErrorKind::Refused)
                .echoed(echoed)
                .retry_after(delay.map(Duration::from_secs)));
        }
        let mut memory = AnswerMemory::new(Arc::clone(&self.answer_budget));
        let body = read_body(&mut exchange, &mut memory).await?;
        if is_success && let Some(rest) = RequestRest::of(exchange, end - Instant::now()) {
            let memory = AnswerMemory::new(Arc::clone(&self.answer_budget));
            UploadRest::new(rest, body_length, memory, self.node.clone()).start();
        }
        Ok(PlainAnswer { echoed, status, headers, body, memory: Arc::new(memory) })
    }
}

/// Reads the body of an answer to its end, which its framing states, into `memory`.
async fn read_body(
    exchange: &mut EndpointExchange,
    memory: &mut AnswerMemory,
) -> Result<Bytes, PlainError> {
    let mut body = BytesMut::new();
    while let Some(part) = exchange.read_part().await.map_err(|error| exchange_error(&error))? {
        let held = body.len() + part.len();
        if held > MAX_ANSWER_BYTES || memory.set_held(held).is_err() {
            return Err(PlainError::new(PlainErrorKind::TooLarge));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

impl PlainClient for HttpPlainClient {
    async fn call(&self, request: PlainRequest) -> Result<PlainAnswer, PlainError> {
        let timeout = request.timeout;
        let answer = tokio::time::timeout(timeout, self.exchange(request)).await;
        answer.unwrap_or_else(|_| Err(PlainError::new(PlainErrorKind::Lost)))
    }
}

/// Returns the request as it is sent.
///
/// # Errors
///
/// Returns an error if the target cannot be one of HTTP, so nothing is sent.
fn endpoint_request(request: PlainRequest) -> Result<EndpointRequest, PlainError> {
    let unsent = || PlainError::new(PlainErrorKind::NotSent);
    let header = |text: String| HeaderValue::try_from(text).map_err(|_| unsent());
    let mut head = RequestHead::default();
    head.method = request.method;
    head.uri = Uri::try_from(&*request.target).map_err(|_| unsent())?;
    head.headers = request.headers;
    head.headers.insert(HOST, header(request.address.to_string())?);
    let attempt = header(format!("{:032x}", request.attempt))?;
    head.headers.insert(HeaderName::from_static(ATTEMPT_HEADER), attempt);
    head.set_connection_type(ConnectionType::Close);
    Ok(EndpointRequest {
        address: request.address,
        head,
        body: request.body,
        connect_timeout: CONNECT_TIMEOUT,
    })
}

/// Returns the error for a failed exchange, by whether any bytes may have been sent.
fn exchange_error(error: &ExchangeError) -> PlainError {
    PlainError::new(match error.is_unsent() {
        true => PlainErrorKind::NotSent,
        false => PlainErrorKind::Lost,
    })
}

/// Returns the attempt id that the service echoes, if it sends one.
fn echoed_attempt(headers: &HeaderMap) -> Result<Option<AttemptId>, PlainError> {
    let Some(text) = header_text(headers, ATTEMPT_HEADER) else {
        return Ok(None);
    };
    AttemptId::from_str_radix(text, 16).map(Some).map_err(|_| PlainError::new(PlainErrorKind::Lost))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

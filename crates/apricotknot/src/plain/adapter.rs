//! HTTP client for plain services.

use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use apricotknot_core::types::AttemptId;
use apricotknot_gateway::endpoint::AnswerBudget;
use apricotknot_gateway::endpoint::AnswerMemory;
use awc::Client;
use awc::ClientResponse;
use awc::error::PayloadError;
use awc::error::SendRequestError;
use bytes::Bytes;
use bytes::BytesMut;
use futures::Stream;
use futures::StreamExt;

use super::PlainAnswer;
use super::PlainClient;
use super::PlainError;
use super::PlainErrorKind;
use super::PlainRequest;
use crate::transport::ATTEMPT_HEADER;
use crate::transport::EXECUTED_HEADER;
use crate::transport::endpoint_client;
use crate::transport::may_have_been_sent;

/// Most open connections to plain services for each client.
const MAX_CONNECTIONS: usize = 10_000;

/// Largest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Calls plain services over HTTP; each traffic thread uses its own.
///
/// Each call has a connection of its own, so what a service sends late or twice cannot be read as
/// the answer to another call.
#[derive(Clone)]
pub struct HttpPlainClient {
    client: Client,
    answer_budget: Arc<AnswerBudget>,
}

impl HttpPlainClient {
    /// Creates a client without open connections, whose answers count in `answer_budget`.
    pub fn new(answer_budget: Arc<AnswerBudget>) -> Self {
        Self { client: endpoint_client(MAX_CONNECTIONS), answer_budget }
    }
}

impl PlainClient for HttpPlainClient {
    async fn call(&self, request: PlainRequest) -> Result<PlainAnswer, PlainError> {
        let url = format!("http://{}{}", request.address, request.target);
        let mut http_request =
            self.client.request(request.method, url).no_decompress().force_close();
        for (name, value) in &request.headers {
            http_request = http_request.append_header((name.clone(), value.clone()));
        }
        let http_request = http_request
            .insert_header((ATTEMPT_HEADER, format!("{:032x}", request.attempt)))
            .timeout(request.timeout);
        let response = http_request.send_body(request.body).await;
        let response = response.map_err(|error| send_error(&error))?;
        read_answer(response, AnswerMemory::new(Arc::clone(&self.answer_budget))).await
    }
}

/// Reads the whole answer.
///
/// A status of 412, 429 or 503 counts as a refusal only if the service states that it did no work.
async fn read_answer<S>(
    response: ClientResponse<S>,
    memory: AnswerMemory,
) -> Result<PlainAnswer, PlainError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let headers = response.headers().clone();
    let status = response.status().as_u16();
    let echoed = echoed_attempt(&headers)?;
    if header_text(&headers, EXECUTED_HEADER) == Some("no") && matches!(status, 412 | 429 | 503) {
        let delay = header_text(&headers, "retry-after").and_then(|text| text.parse().ok());
        return Err(PlainError::new(PlainErrorKind::Refused)
            .echoed(echoed)
            .retry_after(delay.map(Duration::from_secs)));
    }
    let body = read_body(response, memory).await?;
    Ok(PlainAnswer { echoed, status, headers, body })
}

async fn read_body<S>(
    mut response: ClientResponse<S>,
    mut memory: AnswerMemory,
) -> Result<Bytes, PlainError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut body = BytesMut::new();
    while let Some(part) = response.next().await {
        let part = part.map_err(|_| PlainError::new(PlainErrorKind::Lost))?;
        let held = body.len() + part.len();
        if held > MAX_ANSWER_BYTES || memory.set_held(held).is_err() {
            return Err(PlainError::new(PlainErrorKind::TooLarge));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Returns the error for a failed send, by whether any bytes may have been sent.
fn send_error(error: &SendRequestError) -> PlainError {
    let kind = match may_have_been_sent(error) {
        true => PlainErrorKind::Lost,
        false => PlainErrorKind::NotSent,
    };
    PlainError::new(kind)
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

//! HTTP client for engines with the OpenAI-compatible interface.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use apricotknot_core::types::AttemptId;
use awc::Client;
use awc::ClientRequest;
use awc::ClientResponse;
use awc::error::SendRequestError;
use bytes::Bytes;
use futures::Stream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::AttemptRequest;
use super::CacheEvents;
use super::CancelState;
use super::EngineAnswer;
use super::EngineClient;
use super::EngineError;
use super::EngineErrorKind;
use super::LoadReport;
use super::sliced_body::SlicedBody;
use crate::transport::ATTEMPT_HEADER;
use crate::transport::EXECUTED_HEADER;
use crate::transport::endpoint_client;
use crate::transport::may_have_been_sent;

/// Timeout of an auxiliary call, which is any call that does not send a prompt.
const AUXILIARY_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Most bytes of the answer to an auxiliary call.
const MAX_AUXILIARY_BODY_BYTES: usize = 1 << 20;

/// Most open connections to engines for each client.
const MAX_CONNECTIONS: usize = 100_000;

/// Header that carries the boot id of the engine, which identifies one run of its process.
const BOOT_HEADER: &str = "x-boot-id";

/// Body of a request to cancel an attempt.
#[derive(Serialize)]
struct CancelRequest {
    attempt_id: String,
}

/// Body of the answer to a request to cancel an attempt.
#[derive(serde::Deserialize)]
struct CancelReply {
    state: CancelState,
}

/// Calls engines over HTTP; each thread uses its own.
///
/// Each attempt has a connection of its own, so what an engine sends late or twice cannot be read as
/// the answer to another attempt. Auxiliary calls share connections.
#[derive(Clone)]
pub struct HttpEngineClient {
    attempts: Client,
    auxiliary: Client,
}

impl HttpEngineClient {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self {
            attempts: endpoint_client(MAX_CONNECTIONS),
            auxiliary: endpoint_client(MAX_CONNECTIONS),
        }
    }

    /// Makes an auxiliary call and parses the JSON body of its answer.
    async fn auxiliary_call<T: DeserializeOwned>(
        &self,
        request: ClientRequest,
        body: Bytes,
    ) -> Result<T, EngineError> {
        let result = request.timeout(AUXILIARY_CALL_TIMEOUT).send_body(body).await;
        let response = result.map_err(|error| send_error(&error))?;
        // The timeout of the request applies only to the head of the answer; the body has its own.
        let mut response = response.timeout(AUXILIARY_CALL_TIMEOUT);
        if !response.status().is_success() {
            return Err(rejection_error(response.status(), response.headers()));
        }
        let body = response.body().limit(MAX_AUXILIARY_BODY_BYTES).await;
        let body = body.map_err(|_| EngineError::new(EngineErrorKind::Lost))?;
        serde_json::from_slice(&body).map_err(|_| EngineError::new(EngineErrorKind::Malformed))
    }
}

impl Default for HttpEngineClient {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineClient for HttpEngineClient {
    type Body = EngineBody;

    async fn start(
        &self,
        request: AttemptRequest,
    ) -> Result<EngineAnswer<EngineBody>, EngineError> {
        let http_request = self
            .attempts
            .post(format!("http://{}{}", request.address, request.path.as_str()))
            .force_close()
            .insert_header((ATTEMPT_HEADER, format_attempt(request.attempt)))
            .insert_header(("x-priority", request.priority.to_string()))
            .insert_header(("x-fencing-number", request.fencing_number.to_string()))
            .insert_header(("content-type", "application/json"))
            .timeout(request.head_timeout);
        let response = http_request.send_body(SlicedBody::new(request.body)).await;
        read_head(response.map_err(|error| send_error(&error))?, request.attempt)
    }

    async fn resume(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        first_index: u64,
    ) -> Result<EngineAnswer<EngineBody>, EngineError> {
        let attempt_id = format_attempt(attempt);
        let uri =
            format!("http://{address}/engine/resume?attempt_id={attempt_id}&from={first_index}");
        let request = self.attempts.get(uri).force_close().timeout(AUXILIARY_CALL_TIMEOUT);
        let response = request.send().await;
        read_head(response.map_err(|error| send_error(&error))?, attempt)
    }

    async fn cancel(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
    ) -> Result<CancelState, EngineError> {
        let cancel_request = CancelRequest { attempt_id: format_attempt(attempt) };
        let body = serde_json::to_vec(&cancel_request)
            .map_err(|_| EngineError::new(EngineErrorKind::NotSent))?
            .into();
        let request = self
            .auxiliary
            .post(format!("http://{address}/engine/cancel"))
            .insert_header(("content-type", "application/json"));
        let reply: CancelReply = self.auxiliary_call(request, body).await?;
        Ok(reply.state)
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, EngineError> {
        let uri = format!("http://{address}/engine/events?after={after}");
        self.auxiliary_call(self.auxiliary.get(uri), Bytes::new()).await
    }

    async fn load(&self, address: SocketAddr) -> Result<LoadReport, EngineError> {
        let request = self.auxiliary.get(format!("http://{address}/engine/load"));
        self.auxiliary_call(request, Bytes::new()).await
    }
}

/// Body of an engine's answer, read from its connection only as fast as it is polled.
pub struct EngineBody {
    response: ClientResponse,
}

impl Stream for EngineBody {
    type Item = Result<Bytes, EngineError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let chunk = Pin::new(&mut self.response).poll_next(context);
        chunk.map_err(|_| EngineError::new(EngineErrorKind::Lost))
    }
}

/// Checks the status of the response to `attempt` and reads its headers.
///
/// A refusal of another attempt says nothing about this one, which the engine may be running.
fn read_head(
    response: ClientResponse,
    attempt: AttemptId,
) -> Result<EngineAnswer<EngineBody>, EngineError> {
    let headers = response.headers();
    let echoed = header_text(headers, ATTEMPT_HEADER).map(parse_attempt).transpose()?;
    if !response.status().is_success() {
        let is_own = echoed.is_none_or(|echoed| echoed == attempt);
        return Err(match is_own {
            true => rejection_error(response.status(), headers),
            false => EngineError::new(EngineErrorKind::Malformed),
        });
    }
    Ok(EngineAnswer {
        echoed,
        boot: header_text(headers, BOOT_HEADER).map(Into::into),
        content_type: header_text(headers, "content-type").map(Into::into),
        body: EngineBody { response },
    })
}

/// Returns the error for an unsuccessful status.
///
/// The attempt certainly did not run if the engine says so or the status is a client error.
fn rejection_error(status: StatusCode, headers: &HeaderMap) -> EngineError {
    let did_not_run =
        header_text(headers, EXECUTED_HEADER) == Some("no") || status.is_client_error();
    let kind = if did_not_run { EngineErrorKind::Refused } else { EngineErrorKind::Failed };
    EngineError::new(kind).status(status.as_u16())
}

/// Returns the error for a failed send, by whether any bytes may have been sent.
fn send_error(error: &SendRequestError) -> EngineError {
    let kind = match may_have_been_sent(error) {
        true => EngineErrorKind::Lost,
        false => EngineErrorKind::NotSent,
    };
    EngineError::new(kind)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn parse_attempt(text: &str) -> Result<AttemptId, EngineError> {
    AttemptId::from_str_radix(text, 16).map_err(|_| EngineError::new(EngineErrorKind::Malformed))
}

fn format_attempt(attempt: AttemptId) -> String {
    format!("{attempt:032x}")
}

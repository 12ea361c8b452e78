//! Reads, authenticates and validates a request before it is admitted.

use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Payload;
use actix_http::Request;
use actix_http::header::HeaderMap;
use apricotknot_core::outcome::CallerError;
use apricotknot_core::outcome::CallerErrorKind;
use apricotknot_core::types::AccountId;
use apricotknot_core::types::RequestProfile;
use bytes::Bytes;
use futures::StreamExt;
use sha2::Digest;
use sha2::Sha256;

use super::ConnectionGuard;
use super::openai::PromptEnvelope;
use crate::control::ConfigView;
use crate::control::NodeClock;
use crate::settings::CallerSettings;

/// Header with which a caller shortens the timeout of its request, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Memory that is taken first for a body, in bytes, if it is not known to be smaller.
const FIRST_BODY_BYTES: usize = 16 << 10;

/// Retry delay that callers are given if there is no memory; stalled requests give way by then.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Prefix of the credentials, which names their scheme.
const BEARER_PREFIX: &str = "Bearer ";

/// Reads the whole body within the size and time that `settings` allow, and within the memory that
/// the node has for requests.
///
/// # Errors
///
/// Returns the error for the caller if the body is too large, arrives too late or is incomplete.
pub(super) async fn read_body(
    payload: Payload,
    request: &Request,
    settings: &CallerSettings,
) -> Result<Bytes, CallerError> {
    let guard = request.conn_data::<Rc<ConnectionGuard>>().cloned();
    let declared = declared_length(request.headers());
    let read = collect_body(payload, declared, settings.max_body_bytes, guard.as_deref());
    match tokio::time::timeout(settings.body_timeout, read).await {
        Ok(body) => body,
        Err(_) => Err(CallerError::not_run(CallerErrorKind::InvalidRequest)
            .given("a body that did not arrive in time")
            .allowed(format!("{} ms", settings.body_timeout.as_millis()))),
    }
}

/// Returns the content length that the caller declared; 0 if it is missing or unreadable.
fn declared_length(headers: &HeaderMap) -> usize {
    let length = headers.get("content-length").and_then(|value| value.to_str().ok());
    length.and_then(|text| text.trim().parse().ok()).unwrap_or_default()
}

async fn collect_body(
    mut payload: Payload,
    declared: usize,
    limit: usize,
    guard: Option<&ConnectionGuard>,
) -> Result<Bytes, CallerError> {
    if declared > limit {
        return Err(body_too_large(declared, limit));
    }
    let most = if declared > 0 { declared } else { limit };
    let mut body = Vec::new();
    while let Some(chunk) = next_chunk(&mut payload, guard).await? {
        if body.len() + chunk.len() > limit {
            return Err(body_too_large(body.len() + chunk.len(), limit));
        }
        make_room(&mut body, chunk.len(), most, guard)?;
        body.extend_from_slice(&chunk);
    }
    if guard.is_some_and(|guard| !guard.finish_body()) {
        return Err(no_memory());
    }
    Ok(body.into())
}

/// Waits for the next part of a body, unless the connection has to give way.
async fn next_chunk(
    payload: &mut Payload,
    guard: Option<&ConnectionGuard>,
) -> Result<Option<Bytes>, CallerError> {
    let next = poll_fn(|context| match guard.map(|guard| guard.intake().poll_gave_way(context)) {
        Some(Poll::Ready(())) => Poll::Ready(Err(no_memory())),
        _ => payload.poll_next_unpin(context).map(Ok),
    });
    next.await?.transpose().map_err(|_| {
        CallerError::not_run(CallerErrorKind::InvalidRequest).given("a body that broke off")
    })
}

/// Takes memory for `bytes` more bytes of a body that may have `most`.
fn make_room(
    body: &mut Vec<u8>,
    bytes: usize,
    most: usize,
    guard: Option<&ConnectionGuard>,
) -> Result<(), CallerError> {
    let needed = body.len() + bytes;
    if let Some(guard) = guard {
        guard.intake().record(bytes);
    }
    if needed <= body.capacity() {
        return Ok(());
    }
    let doubled = (2 * body.capacity()).max(FIRST_BODY_BYTES);
    let capacity = doubled.min(most).max(needed);
    if guard.is_some_and(|guard| guard.intake().grow(capacity).is_err()) {
        return Err(no_memory());
    }
    body.reserve_exact(capacity - body.len());
    Ok(())
}

fn no_memory() -> CallerError {
    CallerError::not_run(CallerErrorKind::Overloaded)
        .given("a body for which the node has no memory now")
        .retry_after(NO_MEMORY_RETRY_AFTER)
}

fn body_too_large(given: usize, limit: usize) -> CallerError {
    CallerError::not_run(CallerErrorKind::RequestTooLarge)
        .given(format!("a body of at least {given} bytes"))
        .allowed(format!("{limit} bytes"))
}

/// Returns the account whose API key the request carries.
///
/// # Errors
///
/// Returns an error for the caller if the key is missing, malformed or unknown.
pub(super) fn authenticate(
    headers: &HeaderMap,
    view: &ConfigView,
) -> Result<AccountId, CallerError> {
    let key = headers
        .get("authorization")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(BEARER_PREFIX))
        .ok_or_else(|| CallerError::not_run(CallerErrorKind::InvalidCredentials))?;
    let digest = hex::encode(Sha256::digest(key.trim().as_bytes()));
    view.account(&digest)
        .cloned()
        .ok_or_else(|| CallerError::not_run(CallerErrorKind::InvalidCredentials))
}

/// Parses the body of a prompt request.
///
/// # Errors
///
/// Returns an error for the caller that states what could not be parsed.
pub(super) fn parse_prompt(body: &[u8]) -> Result<PromptEnvelope, CallerError> {
    serde_json::from_slice(body).map_err(|error| {
        CallerError::not_run(CallerErrorKind::InvalidRequest).given(error.to_string())
    })
}

/// Builds the profile of a prompt request, by which it is admitted and placed.
///
/// # Errors
///
/// Returns an error for the caller if the model is unknown, the timeout header is malformed, or
/// the prompt and the answer together exceed the model's context.
pub(super) fn build_profile(
    envelope: &PromptEnvelope,
    account: AccountId,
    headers: &HeaderMap,
    view: &ConfigView,
    clock: &NodeClock,
) -> Result<RequestProfile, CallerError> {
    let Some((service, context)) = view.models().get_key_value(&envelope.model) else {
        return Err(CallerError::not_run(CallerErrorKind::NotFound)
            .given(format!("model `{}`", envelope.model)));
    };
    let admission = view.admission();
    let allowed = Duration::from_millis(admission.request_timeout_ms);
    let timeout = requested_timeout(headers)?.map_or(allowed, |requested| requested.min(allowed));
    let profile = RequestProfile {
        id: rand::random(),
        fingerprint: envelope.digest.fingerprint(&format!("{account}/{service}")),
        account,
        service: service.clone(),
        prompt_tokens: envelope.digest.token_count(),
        max_output_tokens: envelope.max_tokens.unwrap_or(admission.default_max_tokens),
        prefix_blocks: envelope.digest.prefix_blocks(&envelope.model),
        deadline: clock.now() + timeout,
    };
    if profile.memory_tokens() > *context {
        return Err(CallerError::not_run(CallerErrorKind::PromptTooLarge)
            .given(format!("{} tokens of prompt and answer", profile.memory_tokens()))
            .allowed(format!("{context} tokens")));
    }
    Ok(profile)
}

/// Returns the timeout that the caller requests, if it requests one.
///
/// # Errors
///
/// Returns an error for the caller if the header is not a whole number of milliseconds.
pub(super) fn requested_timeout(headers: &HeaderMap) -> Result<Option<Duration>, CallerError> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let milliseconds = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    match milliseconds {
        Some(milliseconds) => Ok(Some(Duration::from_millis(milliseconds))),
        None => Err(CallerError::not_run(CallerErrorKind::InvalidRequest)
            .given(format!("header {TIMEOUT_HEADER} with the value {value:?}"))
            .allowed("a whole number of milliseconds")),
    }
}

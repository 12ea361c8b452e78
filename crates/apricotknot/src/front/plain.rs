//! HTTP interface through which callers call plain services.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use apricotknot_core::ledger::CallAnswer;
use apricotknot_core::outcome::CallerError;
use apricotknot_core::outcome::CallerErrorKind;
use apricotknot_core::types::ExecutionCertainty;
use bytes::Bytes;
use tokio::sync::oneshot;

use super::GrantWait;
use super::NodePhase;
use super::ResponseBody;
use super::TrafficContext;
use super::service::EXECUTED_HEADER;
use super::service::empty_response;
use super::service::error_response;
use super::service::with_request_id;
use super::validation::authenticate;
use super::validation::read_body;
use super::validation::requested_timeout;
use crate::control::ConfigView;
use crate::control::PlainRoute;
use crate::plain::PlainAnswer;
use crate::plain::PlainCall;
use crate::plain::PlainClient;
use crate::plain::PlainDriver;
use crate::plain::PlainOutcome;

/// Header of an answer that is replayed from the ledger.
const REPLAYED_HEADER: &str = "x-idempotent-replayed";

/// Serves one call of the plain service behind `route`.
///
/// # Errors
///
/// Returns the error for the caller if the call is refused before its driver starts.
pub(super) async fn serve_plain<E: 'static, P: PlainClient>(
    context: Rc<TrafficContext<E>>,
    plain_client: P,
    route: PlainRoute,
    request: &Request,
    payload: Payload,
) -> Result<Response<ResponseBody>, CallerError> {
    if context.phase() == NodePhase::Stopping {
        return Err(CallerError::not_run(CallerErrorKind::NodeStopping));
    }
    let view = context.shared.control.view();
    let call = read_call(&context, &view, &route, request, payload).await?;
    let id = call.id;
    let (reply, outcome) = oneshot::channel();
    let ledger = context.shared.ledger.clone();
    let driver = PlainDriver::new(context, plain_client, call, reply, GrantWait::of(request));
    actix_rt::spawn(driver.run(ledger));
    let response = match outcome.await {
        Ok(PlainOutcome::Answer(answer)) => answer_response(&answer),
        Ok(PlainOutcome::Replay(answer)) => replay_response(&answer),
        Ok(PlainOutcome::Failed(error)) => error_response(&error),
        Err(_) => error_response(&CallerError::new(
            CallerErrorKind::NodeStopping,
            ExecutionCertainty::Unknown,
        )),
    };
    Ok(with_request_id(response, id))
}

/// Authenticates and reads a call.
async fn read_call<E>(
    context: &TrafficContext<E>,
    view: &ConfigView,
    route: &PlainRoute,
    request: &Request,
    payload: Payload,
) -> Result<PlainCall, CallerError> {
    let shared = &context.shared;
    let headers = request.headers();
    let account = authenticate(headers, view)?;
    let body = read_body(payload, request, &shared.settings).await?;
    let repeatable = PlainCall::is_repeatable(&route.policy, request.path());
    let idempotency_key = match repeatable {
        true => None,
        false => PlainCall::parse_idempotency_key(headers, &account, &route.service)?,
    };
    let allowed = Duration::from_millis(view.admission().request_timeout_ms);
    let timeout = requested_timeout(headers)?.map_or(allowed, |requested| requested.min(allowed));
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
    Ok(PlainCall {
        id: rand::random(),
        account,
        service: route.service.clone(),
        method: request.method().clone(),
        target: target.into(),
        headers: PlainCall::forwarded_headers(headers),
        body,
        repeatable,
        idempotency_key,
        deadline: shared.clock.now() + timeout,
    })
}

/// Creates the response that forwards the answer of the service.
fn answer_response(answer: &PlainAnswer) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for (name, value) in &PlainCall::forwarded_headers(&answer.headers) {
        builder.append_header((name.clone(), value.clone()));
    }
    builder.insert_header((EXECUTED_HEADER, ExecutionCertainty::Yes.name()));
    let body = ResponseBody::Held(answer.body.clone(), Arc::clone(&answer.memory));
    build_response(builder, body)
}

/// Creates the response that replays an answer from the ledger.
fn replay_response(answer: &CallAnswer) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    if let Some(content_type) = &answer.content_type {
        builder.insert_header(("content-type", content_type.as_ref()));
    }
    builder.insert_header((EXECUTED_HEADER, ExecutionCertainty::Yes.name()));
    builder.insert_header((REPLAYED_HEADER, "true"));
    let body = answer.body.as_deref().map(Bytes::copy_from_slice).unwrap_or_default();
    build_response(builder, ResponseBody::Buffered(body))
}

fn build_response(
    mut builder: actix_http::ResponseBuilder,
    body: ResponseBody,
) -> Response<ResponseBody> {
    builder.message_body(body).unwrap_or_else(|_| empty_response(StatusCode::BAD_GATEWAY))
}

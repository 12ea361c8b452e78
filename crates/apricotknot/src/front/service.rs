//! Routing of the requests of callers.

use std::rc::Rc;

use actix_http::HttpMessage;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use apricotknot_core::outcome::CallerError;
use apricotknot_core::outcome::CallerErrorKind;
use apricotknot_core::types::ExecutionCertainty;
use apricotknot_core::types::RequestId;
use bytes::Bytes;

use super::AnswerHead;
use super::GrantWait;
use super::NodePhase;
use super::ResponseBody;
use super::TrafficContext;
use super::answer_channel;
use super::driver::PromptCall;
use super::driver::RequestDriver;
use super::openai::render_models;
use super::plain::serve_plain;
use super::validation::authenticate;
use super::validation::build_profile;
use super::validation::parse_prompt;
use super::validation::read_body;
use crate::engine::CallPath;
use crate::engine::EngineClient;
use crate::plain::PlainClient;
use crate::telemetry::RequestLabels;

/// Header that carries the id of the request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that states whether the request was executed.
pub(super) const EXECUTED_HEADER: &str = "x-executed";

/// Serves the requests of callers on one traffic thread.
#[derive(Debug)]
pub struct FrontService<E, P> {
    context: Rc<TrafficContext<E>>,
    plain_client: P,
}

impl<E, P: Clone> Clone for FrontService<E, P> {
    fn clone(&self) -> Self {
        Self { context: self.context.clone(), plain_client: self.plain_client.clone() }
    }
}

impl<E: EngineClient, P: PlainClient> FrontService<E, P> {
    /// Creates the service of one traffic thread.
    pub fn new(context: TrafficContext<E>, plain_client: P) -> Self {
        Self { context: Rc::new(context), plain_client }
    }

    /// Serves one request.
    pub async fn serve(self, mut request: Request) -> Response<ResponseBody> {
        let payload = request.take_payload();
        let path = request.path().to_owned();
        let is_get = request.method() == Method::GET;
        let is_post = request.method() == Method::POST;
        match path.as_str() {
            "/healthz" if is_get => text_response(StatusCode::OK, "alive\n"),
            "/readyz" if is_get => self.readiness(),
            "/v1/models" if is_get => self.list_models(request.headers()),
            "/v1/chat/completions" if is_post => {
                self.serve_prompt(CallPath::Chat, request, payload).await
            },
            "/v1/completions" if is_post => {
                self.serve_prompt(CallPath::Completions, request, payload).await
            },
            _ => self.serve_plain_route(&path, request, payload).await,
        }
    }

    /// Serves a request whose path is not one of the node's own, by the routes of plain services.
    async fn serve_plain_route(
        self,
        path: &str,
        request: Request,
        payload: actix_http::Payload,
    ) -> Response<ResponseBody> {
        let view = self.context.shared.control.view();
        let Some(route) = view.plain_route(path).cloned() else {
            return self.refuse(
                CallerError::not_run(CallerErrorKind::NotFound)
                    .given(format!("{} {path}", request.method())),
            );
        };
        let (context, plain_client) = (self.context.clone(), self.plain_client.clone());
        match serve_plain(context, plain_client, route, &request, payload).await {
            Ok(response) => response,
            Err(error) => self.refuse(error),
        }
    }

    fn readiness(&self) -> Response<ResponseBody> {
        if self.context.is_ready() {
            return text_response(StatusCode::OK, "ready\n");
        }
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    fn list_models(&self, headers: &HeaderMap) -> Response<ResponseBody> {
        let view = self.context.shared.control.view();
        match authenticate(headers, &view) {
            Ok(_) => json_response(StatusCode::OK, render_models(&view).to_string()),
            Err(error) => self.refuse(error),
        }
    }

    async fn serve_prompt(
        self,
        path: CallPath,
        request: Request,
        payload: actix_http::Payload,
    ) -> Response<ResponseBody> {
        match self.start_prompt(path, &request, payload).await {
            Ok(response) => response,
            Err(error) => self.refuse(error),
        }
    }

    /// Starts the driver of a prompt request and waits for the head of its answer.
    async fn start_prompt(
        &self,
        path: CallPath,
        request: &Request,
        payload: actix_http::Payload,
    ) -> Result<Response<ResponseBody>, CallerError> {
        if self.context.phase() == NodePhase::Stopping {
            return Err(CallerError::not_run(CallerErrorKind::NodeStopping));
        }
        let shared = &self.context.shared;
        let view = shared.control.view();
        let account = authenticate(request.headers(), &view)?;
        let body = read_body(payload, request, &shared.settings).await?;
        let envelope = parse_prompt(&body)?;
        let profile = build_profile(&envelope, account, request.headers(), &view, &shared.clock)?;
        let id = profile.id;
        let call = PromptCall { path, body, is_stream: envelope.stream };
        let (sender, head, answer) = answer_channel();
        let grant_wait = GrantWait::of(request);
        let driver = RequestDriver::new(self.context.clone(), profile, call, sender, grant_wait);
        actix_rt::spawn(driver.run());
        let response = match head.await {
            Ok(AnswerHead::Started { content_type }) => answer_response(&content_type, answer),
            Ok(AnswerHead::Failed(error)) => error_response(&error),
            Err(_) => error_response(&CallerError::new(
                CallerErrorKind::NodeStopping,
                ExecutionCertainty::Unknown,
            )),
        };
        Ok(with_request_id(response, id))
    }

    /// Refuses a request for which no driver was started, and counts it.
    fn refuse(&self, error: CallerError) -> Response<ResponseBody> {
        let labels =
            RequestLabels { outcome: error.kind().code(), executed: error.executed().name() };
        self.context.shared.metrics.requests.get_or_create(&labels).inc();
        with_request_id(error_response(&error), rand::random())
    }
}

/// Creates the response that streams `answer` to the caller.
fn answer_response(content_type: &str, answer: super::AnswerBody) -> Response<ResponseBody> {
    Response::build(StatusCode::OK)
        .insert_header(("content-type", content_type))
        .insert_header((EXECUTED_HEADER, ExecutionCertainty::Yes.name()))
        .message_body(ResponseBody::Streamed(answer))
        .unwrap_or_else(|_| empty_response(StatusCode::BAD_GATEWAY))
}

/// Creates the response that reports `error` to a caller.
pub(super) fn error_response(error: &CallerError) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", "application/json"));
    builder.insert_header((EXECUTED_HEADER, error.executed().name()));
    if let Some(seconds) = error.retry_after_seconds() {
        builder.insert_header(("retry-after", seconds.to_string()));
    }
    let body = ResponseBody::Buffered(Bytes::from(error.to_json().to_string()));
    builder.message_body(body).unwrap_or_else(|_| empty_response(status))
}

/// Adds the id of the request to `response`.
pub(super) fn with_request_id(
    mut response: Response<ResponseBody>,
    id: RequestId,
) -> Response<ResponseBody> {
    if let Ok(value) = format!("{id:032x}").parse() {
        let name = actix_http::header::HeaderName::from_static(REQUEST_ID_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}

/// Creates a response with a JSON body.
pub(super) fn json_response(status: StatusCode, body: String) -> Response<ResponseBody> {
    typed_response(status, "application/json", body)
}

/// Creates a response with a plain text body.
pub(super) fn text_response(status: StatusCode, body: &'static str) -> Response<ResponseBody> {
    typed_response(status, "text/plain; charset=utf-8", body.to_owned())
}

/// Creates a response with a body of the media type `content_type`.
pub(super) fn typed_response(
    status: StatusCode,
    content_type: &'static str,
    body: String,
) -> Response<ResponseBody> {
    Response::build(status)
        .insert_header(("content-type", content_type))
        .message_body(ResponseBody::Buffered(Bytes::from(body)))
        .unwrap_or_else(|_| empty_response(status))
}

/// Creates a response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    Response::with_body(status, ResponseBody::Buffered(Bytes::new()))
}

//! HTTP interface for operators: health, readiness, metrics, and the resources below `/api/`.

use std::rc::Rc;

use actix_http::HttpMessage;
use actix_http::Method;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use bytes::Bytes;

use super::ResponseBody;
use super::SharedContext;
use super::service::error_response;
use super::service::text_response;
use super::service::typed_response;
use super::validation::read_body;
use crate::operators::ApiAnswer;
use crate::operators::ApiRequest;
use crate::operators::NodeFleetView;
use crate::operators::OperatorsApi;
use crate::store::BudgetedStore;
use crate::store::EtcdStore;

/// Media type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Prefix of the paths of the operators' API.
const API_PREFIX: &str = "/api/";

/// Store that the operators' API of one traffic thread uses.
type OpsStore = Rc<BudgetedStore<EtcdStore>>;

/// Serves the requests of operators on one traffic thread.
#[derive(Clone)]
pub struct OpsService {
    shared: SharedContext,
    api: Rc<OperatorsApi<OpsStore, NodeFleetView>>,
}

impl OpsService {
    /// Creates the service of one traffic thread.
    pub fn new(shared: SharedContext, api: OperatorsApi<OpsStore, NodeFleetView>) -> Self {
        Self { shared, api: Rc::new(api) }
    }

    /// Serves one request.
    pub async fn serve(self, mut request: Request) -> Response<ResponseBody> {
        let payload = request.take_payload();
        if request.path().starts_with(API_PREFIX) {
            return self.serve_api(&request, payload).await;
        }
        if request.method() != Method::GET {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "allowed: GET\n");
        }
        match request.path() {
            "/healthz" => text_response(StatusCode::OK, "alive\n"),
            "/readyz" => self.readiness(),
            "/metrics" => {
                typed_response(StatusCode::OK, METRICS_TYPE, self.shared.metrics.render())
            },
            _ => text_response(StatusCode::NOT_FOUND, "known: /healthz, /readyz, /metrics, /api\n"),
        }
    }

    async fn serve_api(&self, request: &Request, payload: Payload) -> Response<ResponseBody> {
        let body = match read_body(payload, request, &self.shared.settings).await {
            Ok(body) => body,
            Err(error) => return error_response(&error),
        };
        let authorization = request.headers().get("authorization");
        let authorization = authorization.and_then(|value| value.to_str().ok()).map(Into::into);
        let call = ApiRequest::new(request.method().clone(), request.path())
            .query(request.uri().query().unwrap_or_default())
            .authorization(authorization)
            .body(body);
        api_response(self.api.handle(call).await)
    }

    fn readiness(&self) -> Response<ResponseBody> {
        if self.shared.is_ready() {
            return text_response(StatusCode::OK, "ready\n");
        }
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn api_response(answer: ApiAnswer) -> Response<ResponseBody> {
    let status = answer.status;
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", "application/json"));
    if let Some(executed) = answer.executed {
        builder.insert_header(("x-executed", executed.name()));
    }
    builder
        .message_body(ResponseBody::Buffered(answer.body))
        .unwrap_or_else(|_| Response::with_body(status, ResponseBody::Buffered(Bytes::new())))
}

//! HTTP interface for the balancer and for operators: readiness, duties, usage and metrics.

use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_rt::net::TcpStream;
use apricotknot_core::routing::InputLimits;
use bytes::Bytes;

use crate::caller::CallerConnection;
use crate::driver::TrafficContext;
use crate::protocol::CallProtocol;

/// Serves one connection of the balancer or of an operator.
pub(crate) struct OperationsSession<P> {
    context: TrafficContext<P>,
    connection: CallerConnection,
}

impl<P: CallProtocol> OperationsSession<P> {
    /// Creates the session of an accepted connection.
    pub(crate) fn new(context: TrafficContext<P>, stream: TcpStream) -> Self {
        let connection = CallerConnection::new(stream, &context.http);
        Self { context, connection }
    }

    /// Answers requests until the connection is closed.
    pub(crate) async fn run(mut self) {
        while let Ok(request) = self.connection.read_request(&InputLimits::default()).await {
            let (status, body) = self.answer(request.head.uri.path());
            let head = ResponseHead::new(status);
            if self.connection.write_answer(&head, body).is_err()
                || self.connection.flush().await.is_err()
                || !self.connection.is_reusable()
            {
                break;
            }
        }
        self.connection.close().await;
    }

    fn answer(&self, path: &str) -> (StatusCode, Bytes) {
        match path {
            "/readyz" if self.context.shared.is_ready(self.context.clock.now()) => {
                (StatusCode::OK, Bytes::from_static(b"ready\n"))
            },
            "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready\n")),
            "/duties" => {
                let duties = serde_json::to_vec(&self.context.shared.duties());
                (StatusCode::OK, duties.unwrap_or_default().into())
            },
            "/usage" => {
                let usage = serde_json::to_vec(&self.context.shared.usage_status());
                (StatusCode::OK, usage.unwrap_or_default().into())
            },
            "/metrics" => (StatusCode::OK, self.context.metrics.render().into()),
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        }
    }
}

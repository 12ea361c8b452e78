//! HTTP interface for the balancer and for operators: readiness, duties, usage and metrics.

use std::sync::Arc;

use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_rt::net::TcpStream;
use apricotknot_core::routing::InputLimits;
use bytes::Bytes;

use crate::caller::CallerConnection;
use crate::driver::TrafficContext;
use crate::intake::IntakeConnection;
use crate::intake::IntakeControl;
use crate::protocol::CallProtocol;

/// Largest body of a request, in bytes; no request of this interface needs one.
const MAX_BODY_BYTES: usize = 4 * 1_024;

/// Serves one connection of the balancer or of an operator.
pub(crate) struct OperationsSession<P> {
    context: TrafficContext<P>,
    connection: CallerConnection,
    /// Connections of callers, for which a ready node has room.
    callers: Arc<IntakeControl>,
}

impl<P: CallProtocol> OperationsSession<P> {
    /// Creates the session of an accepted connection.
    pub(crate) fn new(
        context: TrafficContext<P>,
        stream: TcpStream,
        intake: IntakeConnection,
        callers: Arc<IntakeControl>,
    ) -> Self {
        let connection = CallerConnection::new(stream, &context.http, intake);
        Self { context, connection, callers }
    }

    /// Answers requests until the connection is closed.
    pub(crate) async fn run(mut self) {
        let limits = InputLimits { body_bytes: MAX_BODY_BYTES, ..InputLimits::default() };
        while let Ok(request) = self.connection.read_request(&limits).await {
            let (status, body) = self.answer(request.head.uri.path());
            let head = ResponseHead::new(status);
            if self.connection.write_answer(&head, body).is_err()
                || self.connection.finish_output().await.is_err()
                || !self.connection.is_reusable()
            {
                break;
            }
            self.connection.finish_request();
        }
        self.connection.close().await;
    }

    /// Returns whether the balancer should send new connections to this node.
    fn is_ready(&self) -> bool {
        self.context.shared.is_ready(self.context.clock.now()) && !self.callers.is_full()
    }

    fn answer(&self, path: &str) -> (StatusCode, Bytes) {
        match path {
            "/readyz" if self.is_ready() => (StatusCode::OK, Bytes::from_static(b"ready\n")),
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

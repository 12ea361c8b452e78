//! Session of one caller's connection: it serves the requests one after the other.

use std::sync::Arc;

use actix_rt::net::TcpStream;
use slog::info;

use super::AdmittedCall;
use super::CallFault;
use super::CallOutcome;
use super::TrafficContext;
use super::call_driver::CallDriver;
use super::open_call::OpenCall;
use crate::CallLabels;
use crate::caller::CallerConnection;
use crate::caller::ConnectionError;
use crate::caller::IncomingRequest;
use crate::clock::millis;
use crate::intake::IntakeConnection;
use crate::protocol::CallProtocol;

/// Value of the metrics label `kind` for calls without a route.
const NO_KIND: &str = "none";

/// Serves the requests of one connection.
pub struct CallerSession<P> {
    context: TrafficContext<P>,
    connection: CallerConnection,
}

impl<P: CallProtocol> CallerSession<P> {
    /// Creates the session of an accepted connection.
    pub fn new(context: TrafficContext<P>, stream: TcpStream, intake: IntakeConnection) -> Self {
        let connection = CallerConnection::new(stream, &context.http, intake);
        Self { context, connection }
    }

    /// Serves requests until the connection is closed.
    pub async fn run(mut self) {
        loop {
            let limits = self.context.shared.desired().map(|desired| desired.limits);
            let request = self.connection.read_request(&limits.unwrap_or_default()).await;
            // A call is open until its answer has been written, not only until it is known.
            let open = OpenCall::begin(&self.context.metrics);
            let is_reusable = match request {
                Ok(request) => self.serve(request).await,
                Err(error) => {
                    self.refuse_unreadable(error);
                    false
                },
            };
            if !is_reusable {
                // The request has ended; its answer may still have to be written.
                self.connection.finish_request();
                self.connection.close().await;
                return;
            }
            if self.connection.finish_output().await.is_err() {
                break;
            }
            self.connection.finish_request();
            drop(open);
        }
        self.connection.close().await;
    }

    /// Serves one request; returns whether the connection can carry another one.
    async fn serve(&mut self, request: IncomingRequest) -> bool {
        let outcome = self.drive(request).await;
        match outcome {
            CallOutcome::Answered | CallOutcome::Fault(_) => self.connection.is_reusable(),
            CallOutcome::Truncated | CallOutcome::CallerDisconnected => {
                self.connection.abort();
                false
            },
        }
    }

    async fn drive(&mut self, request: IncomingRequest) -> CallOutcome {
        let arrived = self.context.clock.now();
        let metadata = match self.context.protocol.read_call(&request.head) {
            Ok(metadata) => metadata,
            Err(error) => {
                let fault = CallFault::BadTerms(error);
                self.refuse(&fault, None);
                return CallOutcome::Fault(fault);
            },
        };
        let id = Arc::clone(&metadata.request_id);
        match AdmittedCall::admit(&self.context, request, metadata, arrived) {
            Ok(call) => CallDriver::new(&self.context, &mut self.connection, call).run().await,
            Err(fault) => {
                self.refuse(&fault, Some(&id));
                CallOutcome::Fault(fault)
            },
        }
    }

    /// Answers input that is not a request, or that is too large or too slow.
    fn refuse_unreadable(&mut self, error: ConnectionError) {
        let fault = match error {
            ConnectionError::Closed | ConnectionError::IdleTimeout | ConnectionError::GaveWay => {
                return;
            },
            ConnectionError::NoMemory => CallFault::NoMemory,
            ConnectionError::HeadTimeout | ConnectionError::BodyTimeout => CallFault::TooSlow,
            ConnectionError::HeadTooLarge => CallFault::HeadTooLarge,
            ConnectionError::BodyTooLarge => CallFault::BodyTooLarge,
            ConnectionError::Malformed => CallFault::Malformed,
        };
        self.connection.close_after_answer();
        self.refuse(&fault, None);
    }

    /// Answers a request that is not admitted, with its id if that is known.
    fn refuse(&mut self, fault: &CallFault, id: Option<&str>) {
        let labels = CallLabels { kind: NO_KIND, outcome: fault.name() };
        self.context.metrics.calls.get_or_create(&labels).inc();
        // A crowd is reported by a line now and then, not by one for each of its requests.
        if *fault != CallFault::NoMemory {
            self.log_refused(fault, id);
        }
        if self.context.shared.is_stopping() {
            self.connection.close_after_answer();
        }
        let (mut head, body) = fault.answer();
        if let Some(id) = id {
            self.context.protocol.write_refusal(&mut head, id);
        }
        // A caller that has disconnected cannot receive the answer.
        let _ = self.connection.write_answer(&head, body);
    }

    fn log_refused(&self, fault: &CallFault, id: Option<&str>) {
        let now = self.context.clock.now();
        info!(
            self.context.logger, "call: refused";
            "request" => id.unwrap_or_default(), "outcome" => fault.name(), "cause" => %fault,
            "knowledge_ms" => millis(self.context.shared.configuration_age(now))
        );
    }
}

//! HTTP servers of a node for callers and operators, with one traffic thread per worker.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::Request;
use actix_http::Response;
use actix_server::Server;
use apricotknot_core::intake::IntakeLimits;
use apricotknot_gateway::intake::ConnectionShares;
use apricotknot_gateway::intake::IntakeControl;
use apricotknot_gateway::intake::available_descriptors;
use slog::Logger;
use socket2::SockRef;

use super::NodeError;
use super::guarded_server::RequestService;
use super::guarded_server::ServerOptions;
use super::guarded_server::start_guarded;
use crate::engine::HttpEngineClient;
use crate::front::FrontService;
use crate::front::OpsService;
use crate::front::ResponseBody;
use crate::front::SharedContext;
use crate::front::TrafficContext;
use crate::operators::NodeFleetView;
use crate::operators::OperatorsApi;
use crate::operators::TokenDigests;
use crate::plain::HttpPlainClient;
use crate::settings::NodeSettings;
use crate::store::BudgetedStore;
use crate::store::EtcdStore;
use crate::telemetry::NodeMetrics;

/// Size of the send buffer of each connection, in bytes.
const SEND_BUFFER_BYTES: usize = 64 * 1_024;

/// Threads of the operators' interface.
const OPERATOR_THREADS: usize = 1;

/// Memory that requests of operators may hold, in bytes.
const OPERATOR_REQUEST_BYTES: usize = 8 << 20;

/// Part of the connections that may wait for room beside those in use.
const WAITING_DIVISOR: usize = 8;

/// Opens a listener on `address` for the interface `purpose`.
pub(super) fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, NodeError> {
    let fault = |source| NodeError::Listen { address, purpose, source };
    let listener = TcpListener::bind(address).map_err(fault)?;
    // Accepted connections inherit the size; without it the system buffers megabytes for a slow
    // reader.
    SockRef::from(&listener).set_send_buffer_size(SEND_BUFFER_BYTES).map_err(fault)?;
    Ok(listener)
}

/// Starts the servers of both interfaces; the returned ones must be awaited on an actix system.
///
/// Each has threads and room of its own, so that a crowd on one leaves the other in service.
pub(super) fn start_servers(
    settings: &NodeSettings,
    shared: &SharedContext,
    callers: TcpListener,
    operators: TcpListener,
) -> io::Result<[Server; 2]> {
    let shares = connection_shares(settings);
    let caller_parts = shared.clone();
    let front = start_guarded(
        &server_options("callers", settings, settings.callers.traffic_threads, shares.callers),
        callers,
        &shared.callers,
        move || {
            let context = TrafficContext::new(caller_parts.clone(), HttpEngineClient::new());
            let plain = HttpPlainClient::new(caller_parts.answer_budget.clone());
            let plain = plain.node(caller_parts.clone());
            FrontService::new(context, plain)
        },
    )?;
    let operator_parts = shared.clone();
    let operator_settings = settings.clone();
    let ops = start_guarded(
        &server_options("operators", settings, OPERATOR_THREADS, shares.operations),
        operators,
        &intake(
            "operators",
            OPERATOR_REQUEST_BYTES,
            shares.operations,
            &shared.metrics,
            &shared.logger,
        ),
        move || {
            let api = operators_api(&operator_settings, &operator_parts);
            OpsService::new(operator_parts.clone(), api)
        },
    )?;
    Ok([front, ops])
}

/// Creates the control of what the callers' connections may occupy.
pub(super) fn caller_intake(
    settings: &NodeSettings,
    metrics: &NodeMetrics,
    logger: &Logger,
) -> Arc<IntakeControl> {
    let connections = connection_shares(settings).callers;
    intake("callers", settings.callers.request_memory_bytes, connections, metrics, logger)
}

/// Returns the most connections of each interface, by the descriptors of the process and the settings.
fn connection_shares(settings: &NodeSettings) -> ConnectionShares {
    let shares = ConnectionShares::of(available_descriptors(usize::MAX), usize::MAX);
    let callers = settings.callers.max_connections.min(shares.callers);
    ConnectionShares { callers, ..shares }
}

fn server_options(
    name: &'static str,
    settings: &NodeSettings,
    threads: usize,
    connections: usize,
) -> ServerOptions {
    let max_accepted = connections + connections / WAITING_DIVISOR + 1;
    ServerOptions { name, threads, max_accepted, header_timeout: settings.callers.header_timeout }
}

/// Creates the control of what the clients of one interface may occupy.
fn intake(
    interface: &'static str,
    memory_bytes: usize,
    connections: usize,
    metrics: &NodeMetrics,
    logger: &Logger,
) -> Arc<IntakeControl> {
    let limits = IntakeLimits::new(memory_bytes, connections);
    IntakeControl::new(interface, limits, metrics.intake.clone(), logger.clone())
}

impl RequestService for FrontService<HttpEngineClient, HttpPlainClient> {
    async fn serve(self, request: Request) -> Response<ResponseBody> {
        Self::serve(self, request).await
    }
}

impl RequestService for OpsService {
    async fn serve(self, request: Request) -> Response<ResponseBody> {
        Self::serve(self, request).await
    }
}

/// Creates the operators' interface of one traffic thread, with its own client of the store.
fn operators_api(
    settings: &NodeSettings,
    shared: &SharedContext,
) -> OperatorsApi<Rc<BudgetedStore<EtcdStore>>, NodeFleetView> {
    let addresses = settings.store.addresses.iter().map(ToString::to_string);
    let store = EtcdStore::new(addresses).timeout(settings.store.timeout);
    let store = Rc::new(BudgetedStore::new(store, shared.store_budget.clone()));
    let fleet = NodeFleetView::new(
        shared.control.clone(),
        settings.identity.clone(),
        shared.store_budget.clone(),
    );
    let tokens = TokenDigests::new(settings.operators.token_digests.clone());
    OperatorsApi::new(store, fleet, tokens)
}

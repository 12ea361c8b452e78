//! HTTP server of a node, with one traffic thread per worker.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::Request;
use actix_server::Server;
use actix_service::fn_service;
use socket2::SockRef;

use super::NodeError;
use crate::engine::HttpEngineClient;
use crate::front::FrontService;
use crate::front::OpsService;
use crate::front::SharedContext;
use crate::front::TrafficContext;
use crate::operators::NodeFleetView;
use crate::operators::OperatorsApi;
use crate::operators::TokenDigests;
use crate::plain::HttpPlainClient;
use crate::settings::NodeSettings;
use crate::store::BudgetedStore;
use crate::store::EtcdStore;

/// Time limit for closing a connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the send buffer of each connection, in bytes.
const SEND_BUFFER_BYTES: usize = 64 * 1_024;

/// Size of the buffer for answer bytes that wait to be written to a slow caller.
const WRITE_BUFFER_BYTES: usize = 8 * 1_024;

/// Largest number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Time limit for connections to close when the server stops, in seconds.
const SERVER_STOP_TIMEOUT_SECONDS: u64 = 5;

/// Opens a listener on `address` for the interface `purpose`.
pub(super) fn listen(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, NodeError> {
    let fault = |source| NodeError::Listen { address, purpose, source };
    let listener = TcpListener::bind(address).map_err(fault)?;
    // Accepted connections inherit the size; without it the system buffers megabytes for a slow
    // reader.
    SockRef::from(&listener).set_send_buffer_size(SEND_BUFFER_BYTES).map_err(fault)?;
    Ok(listener)
}

/// Starts the server on both listeners; the returned future must be awaited on an actix system.
pub(super) fn start_server(
    settings: &NodeSettings,
    shared: &SharedContext,
    callers: TcpListener,
    operators: TcpListener,
) -> io::Result<Server> {
    let threads = settings.callers.traffic_threads;
    let header_timeout = settings.callers.header_timeout;
    let caller_parts = shared.clone();
    let operator_parts = shared.clone();
    let operator_settings = settings.clone();
    let server = Server::build()
        .workers(threads)
        .backlog(ACCEPT_BACKLOG)
        .max_concurrent_connections(settings.callers.max_connections.div_ceil(threads))
        .shutdown_timeout(SERVER_STOP_TIMEOUT_SECONDS)
        .disable_signals()
        .listen("callers", callers, move || {
            let context = TrafficContext::new(caller_parts.clone(), HttpEngineClient::new());
            let front = FrontService::new(
                context,
                HttpPlainClient::new(caller_parts.answer_budget.clone()),
            );
            HttpService::build()
                .client_request_timeout(header_timeout)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .h1_allow_half_closed(false)
                .h1_write_buffer_size(WRITE_BUFFER_BYTES)
                .tcp_nodelay(true)
                .h1(fn_service(move |request: Request| {
                    let front = front.clone();
                    // Boxed, so that the memory of this future is freed when the answer begins.
                    Box::pin(async move { Ok::<_, Infallible>(front.serve(request).await) })
                }))
                .tcp()
        })?
        .listen("operators", operators, move || {
            let api = operators_api(&operator_settings, &operator_parts);
            let service = OpsService::new(operator_parts.clone(), api);
            HttpService::build()
                .client_request_timeout(header_timeout)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .h1(fn_service(move |request: Request| {
                    let service = service.clone();
                    async move { Ok::<_, Infallible>(service.serve(request).await) }
                }))
                .tcp()
        })?;
    Ok(server.run())
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

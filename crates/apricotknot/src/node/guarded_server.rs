//! HTTP server of one interface whose clients occupy a bounded part of the node.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::HttpService;
use actix_http::Request;
use actix_http::Response;
use actix_rt::net::TcpStream;
use actix_server::Server;
use actix_service::ServiceFactoryExt;
use actix_service::fn_service;
use apricotknot_gateway::intake::IntakeConnection;
use apricotknot_gateway::intake::IntakeControl;

use super::guarded_stream::GuardedStream;
use crate::front::ConnectionGuard;
use crate::front::GuardedBody;
use crate::front::RequestGuard;
use crate::front::ResponseBody;

/// Time limit for closing a connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the buffer for answer bytes that wait to be written to a slow client.
const WRITE_BUFFER_BYTES: usize = 8 * 1_024;

/// Largest number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Longest time for which an accepted connection waits for room.
const ROOM_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for connections to close when the server stops, in seconds.
const SERVER_STOP_TIMEOUT_SECONDS: u64 = 5;

/// Serves the requests of one traffic thread.
pub(super) trait RequestService: Clone + 'static {
    /// Serves one request.
    fn serve(self, request: Request) -> impl Future<Output = Response<ResponseBody>>;
}

/// Options of the server of one interface.
pub(super) struct ServerOptions {
    /// Name of the interface.
    pub(super) name: &'static str,
    /// Number of threads.
    pub(super) threads: usize,
    /// Most connections that are accepted at a time, those that wait for room included.
    pub(super) max_accepted: usize,
    /// Time limit for receiving a request's headers.
    pub(super) header_timeout: Duration,
}

/// Starts a server; `create` creates the service of each thread. The server must be awaited on an
/// actix system.
pub(super) fn start_guarded<S: RequestService>(
    options: &ServerOptions,
    listener: TcpListener,
    intake: &Arc<IntakeControl>,
    create: impl Fn() -> S + Clone + Send + 'static,
) -> io::Result<Server> {
    let header_timeout = options.header_timeout;
    let intake = Arc::clone(intake);
    let server = Server::build()
        .workers(options.threads)
        .backlog(ACCEPT_BACKLOG)
        .max_concurrent_connections(options.max_accepted.div_ceil(options.threads))
        .shutdown_timeout(SERVER_STOP_TIMEOUT_SECONDS)
        .disable_signals()
        .listen(options.name, listener, move || {
            let service = create();
            let http = HttpService::build()
                .client_request_timeout(header_timeout)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .h1_allow_half_closed(false)
                .h1_write_buffer_size(WRITE_BUFFER_BYTES)
                .on_connect_ext(|stream: &GuardedStream, data| {
                    data.insert(Rc::clone(stream.guard()));
                })
                // Boxed, so that the memory of this future is freed when the answer begins.
                .h1(fn_service(move |request| Box::pin(answer(service.clone(), request))));
            let intake = Arc::clone(&intake);
            fn_service(move |stream| guard_stream(stream, Arc::clone(&intake))).and_then(http)
        })?;
    Ok(server.run())
}

/// Serves one request; a connection that gives way, or on which a part of it was not read, is closed.
async fn answer<S: RequestService>(
    service: S,
    request: Request,
) -> Result<Response<GuardedBody>, Infallible> {
    let guard = RequestGuard::begin(&request);
    let mut response = service.serve(request).await;
    if guard.has_to_close() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    Ok(response.map_body(|_, body| GuardedBody::new(body, guard)))
}

/// Waits until there is room for an accepted connection.
async fn guard_stream(
    stream: TcpStream,
    intake: Arc<IntakeControl>,
) -> Result<(GuardedStream, Option<SocketAddr>), actix_http::error::DispatchError> {
    let _ = stream.set_nodelay(true);
    let room = tokio::time::timeout(ROOM_TIMEOUT, open_when_room(&intake)).await;
    let room = room.map_err(|_| actix_http::error::DispatchError::DisconnectTimeout)?;
    let peer = stream.peer_addr().ok();
    Ok((GuardedStream::new(stream, ConnectionGuard::new(room)), peer))
}

async fn open_when_room(intake: &Arc<IntakeControl>) -> IntakeConnection {
    intake.room().await;
    intake.open()
}

//! Connector that disables Nagle's algorithm on its connections.

use std::task::Context;
use std::task::Poll;

use actix_http::Uri;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use actix_tls::connect::ConnectorService;
use futures::TryFutureExt;
use futures::future::MapOk;

/// TCP connection, with the URI that it was established for.
type PeerConnection = Connection<Uri, TcpStream>;

/// Future of the connector that this one wraps.
type ConnectFuture = <ConnectorService as Service<ConnectInfo<Uri>>>::Future;

/// Establishes connections with `TCP_NODELAY` set, so that small writes are sent immediately.
///
/// The HTTP client writes a request's head and body separately. Without this option the body waits
/// about 40 ms for the peer's delayed acknowledgement of the head on each reused connection.
#[derive(Clone, Default)]
pub struct NoDelayConnector {
    inner: ConnectorService,
}

impl Service<ConnectInfo<Uri>> for NoDelayConnector {
    type Response = PeerConnection;
    type Error = ConnectError;
    type Future = MapOk<ConnectFuture, fn(PeerConnection) -> PeerConnection>;

    fn poll_ready(&self, context: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        Service::<ConnectInfo<Uri>>::poll_ready(&self.inner, context)
    }

    fn call(&self, request: ConnectInfo<Uri>) -> Self::Future {
        self.inner.call(request).map_ok(set_no_delay)
    }
}

fn set_no_delay(connection: PeerConnection) -> PeerConnection {
    // If the option cannot be set, the connection still works, but with higher latency.
    let _ = connection.io_ref().set_nodelay(true);
    connection
}

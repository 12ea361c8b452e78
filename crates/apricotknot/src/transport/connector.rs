//! A connector whose connections send at once.

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

/// Connection to a peer, with the address that it was made for.
type PeerConnection = Connection<Uri, TcpStream>;

/// Future of the library's connector.
type ConnectFuture = <ConnectorService as Service<ConnectInfo<Uri>>>::Future;

/// Makes connections that send without waiting for more to send.
///
/// The HTTP client writes a request's head and body apart. Without this option the body waits for
/// the peer's delayed acknowledgement of the head, some 40 ms, on each reused connection.
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
    // A connection without the option works too, only later.
    let _ = connection.io_ref().set_nodelay(true);
    connection
}

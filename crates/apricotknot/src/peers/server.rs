//! Listener for connections of peers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use apricotknot_wire::auth;
use apricotknot_wire::auth::KeyRing;
use apricotknot_wire::generated::peer_capnp::peer;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::PeerHandler;
use super::connection::HANDSHAKE_TIMEOUT;
use super::connection::rpc_system;
use super::counters::increment;
use super::session::PeerSession;
use super::shared::SharedState;

/// Maximum number of connections of peers served concurrently.
const MAX_CONNECTIONS: usize = 2_048;

/// Maximum number of concurrent connections that are not authenticated yet.
const MAX_HANDSHAKES: usize = 64;

/// Delay before the next attempt to accept after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Permits one connection or call, and counts it in use until dropped.
pub(super) struct UsePermit(Rc<Cell<usize>>);

impl UsePermit {
    /// Acquires a permit; returns `None` if `limit` permits are in use.
    pub(super) fn acquire(counter: &Rc<Cell<usize>>, limit: usize) -> Option<Self> {
        if counter.get() >= limit {
            return None;
        }
        counter.set(counter.get() + 1);
        Some(Self(Rc::clone(counter)))
    }
}

impl Drop for UsePermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections and serves each of them; dropping the future closes them all.
pub(super) async fn serve<H: PeerHandler>(
    listener: TcpListener,
    ring: KeyRing,
    shared: Rc<SharedState<H>>,
) {
    let accepted = Rc::new(Cell::new(0));
    let handshakes = Rc::new(Cell::new(0));
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let permits = (
            UsePermit::acquire(&accepted, MAX_CONNECTIONS),
            UsePermit::acquire(&handshakes, MAX_HANDSHAKES),
        );
        let (Some(connection), Some(handshake)) = permits else {
            increment(&shared.counters.connections_refused);
            continue;
        };
        let (ring, shared) = (ring.clone(), Rc::clone(&shared));
        tasks.spawn_local(async move {
            serve_connection(stream, ring, shared, handshake).await;
            drop(connection);
        });
    }
}

async fn serve_connection<H: PeerHandler>(
    mut stream: TcpStream,
    ring: KeyRing,
    shared: Rc<SharedState<H>>,
    handshake: UsePermit,
) {
    let identity = shared.client.identity();
    let traffic = &shared.counters.traffic;
    let accepting = auth::accept(&mut stream, &identity, &ring, traffic);
    let (peer, keys) = match timeout(HANDSHAKE_TIMEOUT, accepting).await {
        Ok(Ok(accepted)) => accepted,
        Ok(Err(error)) => return shared.counters.count_handshake(error.kind()),
        Err(_) => return increment(&shared.counters.connections_refused),
    };
    drop(handshake);
    if stream.set_nodelay(true).is_err() {
        return;
    }
    increment(&shared.counters.connections_accepted);
    let endpoint: peer::Client = capnp_rpc::new_client(PeerSession::new(peer, Rc::clone(&shared)));
    let rpc = rpc_system(stream, &keys, traffic, Side::Server, Some(endpoint.client));
    let _ = rpc.await;
}

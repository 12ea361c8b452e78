//! Connections to peers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use apricotknot_core::membership::PeerTarget;
use apricotknot_core::types::NodeId;
use apricotknot_wire::auth;
use apricotknot_wire::auth::KeyRing;
use apricotknot_wire::auth::PeerIdentity;
use apricotknot_wire::generated::peer_capnp::peer;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::PeerCounters;
use super::PeerError;
use super::connection::HANDSHAKE_TIMEOUT;
use super::connection::rpc_system;
use super::counters::increment;

/// Delay after the first failed attempt to connect to a peer, before jitter.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of doublings of that delay.
const MAX_DOUBLINGS: u32 = 5;

/// Consecutive unanswered probes after which a connection is closed; the next call opens another.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Keeps a bounded number of connections to peers.
pub(super) struct PeerClient {
    identity: RefCell<PeerIdentity>,
    ring: KeyRing,
    counters: Arc<PeerCounters>,
    max_connections: usize,
    slots: RefCell<HashMap<SocketAddr, Rc<ConnectionSlot>>>,
}

struct ConnectionSlot {
    state: Mutex<SlotState>,
    last_used: Cell<Instant>,
    unanswered_probes: Cell<u32>,
}

#[derive(Default)]
struct SlotState {
    connection: Option<PeerConnection>,
    failures: u32,
    retry_at: Option<Instant>,
}

struct PeerConnection {
    client: peer::Client,
    node: NodeId,
    task: JoinHandle<()>,
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PeerClient {
    pub(super) fn new(
        identity: PeerIdentity,
        ring: KeyRing,
        counters: Arc<PeerCounters>,
        max_connections: usize,
    ) -> Self {
        Self {
            identity: RefCell::new(identity),
            ring,
            counters,
            max_connections,
            slots: RefCell::default(),
        }
    }

    /// Sets the identity that this node proves on new connections.
    pub(super) fn set_identity(&self, identity: PeerIdentity) {
        self.identity.replace(identity);
    }

    /// Returns the identity of this node.
    pub(super) fn identity(&self) -> PeerIdentity {
        self.identity.borrow().clone()
    }

    /// Returns the RPC client for `target`, over a new connection if there is none.
    pub(super) async fn client(&self, target: &PeerTarget) -> Result<peer::Client, PeerError> {
        let slot = self.slot(target.address);
        slot.last_used.set(Instant::now());
        let mut state = slot.state.lock().await;
        let is_wanted = |node: &NodeId| target.node.is_empty() || target.node == *node;
        if let Some(connection) = &state.connection
            && !connection.task.is_finished()
            && is_wanted(&connection.node)
        {
            return Ok(connection.client.clone());
        }
        state.connection = None;
        if let Some(retry_at) = state.retry_at
            && let Some(retry_in) = retry_at.checked_duration_since(Instant::now())
        {
            return Err(PeerError::BackingOff { address: target.address, retry_in });
        }
        match self.connect(target).await {
            Ok(connection) => {
                let client = connection.client.clone();
                *state = SlotState { connection: Some(connection), ..SlotState::default() };
                slot.unanswered_probes.set(0);
                Ok(client)
            },
            Err(error) => {
                let delay = FIRST_RETRY_DELAY * (1 << state.failures.min(MAX_DOUBLINGS));
                let delay = delay.mul_f64(0.75 + rand::random::<f64>() / 2.0);
                state.failures += 1;
                state.retry_at = Some(Instant::now() + delay);
                Err(error)
            },
        }
    }

    /// Records whether a probe of `address` was answered; too many unanswered ones close the
    /// connection.
    pub(super) fn record_probe(&self, address: SocketAddr, is_answered: bool) {
        let Some(slot) = self.slots.borrow().get(&address).cloned() else {
            return;
        };
        let unanswered = if is_answered { 0 } else { slot.unanswered_probes.get() + 1 };
        slot.unanswered_probes.set(unanswered);
        if unanswered >= MAX_UNANSWERED_PROBES
            && let Ok(mut state) = slot.state.try_lock()
        {
            state.connection = None;
        }
    }

    async fn connect(&self, target: &PeerTarget) -> Result<PeerConnection, PeerError> {
        let attempt = timeout(HANDSHAKE_TIMEOUT, self.handshake(target)).await;
        let connection = attempt.unwrap_or(Err(PeerError::TimedOut { limit: HANDSHAKE_TIMEOUT }));
        match &connection {
            Ok(_) => increment(&self.counters.connections_opened),
            Err(PeerError::Handshake(error)) => self.counters.count_handshake(error.kind()),
            Err(_) => {},
        }
        connection
    }

    async fn handshake(&self, target: &PeerTarget) -> Result<PeerConnection, PeerError> {
        let address = target.address;
        let connect_error = |error| PeerError::Connect { address, error };
        let mut stream = TcpStream::connect(address).await.map_err(connect_error)?;
        stream.set_nodelay(true).map_err(connect_error)?;
        let identity = self.identity();
        let traffic = &self.counters.traffic;
        let expected = target.node.clone();
        let (peer, keys) =
            auth::connect(&mut stream, &identity, expected, &self.ring, traffic).await?;
        let mut rpc = rpc_system(stream, &keys, traffic, Side::Client, None);
        let client = rpc.bootstrap(Side::Server);
        let task = actix_rt::spawn(async move {
            let _ = rpc.await;
        });
        Ok(PeerConnection { client, node: peer.node, task })
    }

    fn slot(&self, address: SocketAddr) -> Rc<ConnectionSlot> {
        let mut slots = self.slots.borrow_mut();
        if !slots.contains_key(&address) && slots.len() >= self.max_connections {
            evict_oldest(&mut slots);
        }
        let new = || {
            Rc::new(ConnectionSlot {
                state: Mutex::default(),
                last_used: Cell::new(Instant::now()),
                unanswered_probes: Cell::new(0),
            })
        };
        slots.entry(address).or_insert_with(new).clone()
    }
}

/// Drops the least recently used connection that no call waits for.
fn evict_oldest(slots: &mut HashMap<SocketAddr, Rc<ConnectionSlot>>) {
    let idle = slots.iter().filter(|(_, slot)| Rc::strong_count(slot) == 1);
    let oldest = idle.min_by_key(|(_, slot)| slot.last_used.get()).map(|(address, _)| *address);
    if let Some(address) = oldest {
        slots.remove(&address);
    }
}

//! A TCP proxy on the loopback interface that delays, blocks, silences or resets its connections, and
//! that refuses new ones or leaves them without an answer.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

/// Interval at which a relay thread checks the faults that are set.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which a proxy looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Attempts to bind an address again.
const BIND_ATTEMPTS: usize = 100;

/// Connections that fill the queue of a listener which accepts none.
const QUEUE_FILL: usize = 3;

/// Size of the buffer of a relay thread, in bytes.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Direction in which bytes are relayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkDirection {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

/// What becomes of new connections to a proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Admission {
    /// They are relayed.
    Open,
    /// They are refused, as by a host without a listener.
    Refused,
    /// They get no answer, as behind a partition.
    Unanswered,
}

/// Listener of a proxy, as long as it takes connections.
#[derive(Debug)]
enum ProxyListener {
    Open(TcpListener),
    Refused,
    /// A listener whose queue is full, with the connections that fill it.
    Unanswered {
        _listener: Socket,
        _queued: Vec<Socket>,
    },
}

/// Faults that are set, shared with the relay threads.
#[derive(Debug, Default)]
struct LinkState {
    delay_ms: AtomicU64,
    blocks_to_target: AtomicBool,
    blocks_to_client: AtomicBool,
    /// Number of resets; a connection that was opened before the last one is reset.
    resets: AtomicU64,
    /// Number of silences; a connection that was opened before the last one carries nothing more.
    silences: AtomicU64,
    /// Number of connections that were accepted.
    accepted: AtomicUsize,
}

impl LinkState {
    fn blocks(&self, direction: LinkDirection) -> &AtomicBool {
        match direction {
            LinkDirection::ToTarget => &self.blocks_to_target,
            LinkDirection::ToClient => &self.blocks_to_client,
        }
    }
}

/// Relays connections to one target address.
pub(crate) struct FaultProxy {
    address: SocketAddr,
    state: Arc<LinkState>,
    listener: Arc<Mutex<ProxyListener>>,
}

impl FaultProxy {
    /// Starts a proxy for `target`, which runs until the test process ends.
    pub(crate) fn start(target: SocketAddr) -> Self {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), target)
    }

    /// Starts a proxy for `target` that listens at `address`.
    pub(crate) fn start_at(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = bind_listener(address);
        let address = listener.local_addr().expect("the proxy has an address");
        let state = Arc::new(LinkState::default());
        let listener = Arc::new(Mutex::new(ProxyListener::Open(listener)));
        let proxy = Self { address, state: Arc::clone(&state), listener: Arc::clone(&listener) };
        thread::spawn(move || {
            loop {
                let Some(client) = accept(&listener) else {
                    sleep(ACCEPT_INTERVAL);
                    continue;
                };
                state.accepted.fetch_add(1, Ordering::Relaxed);
                let Ok(target) = TcpStream::connect(target) else {
                    reset_connection(&client);
                    continue;
                };
                let _ = relay_both(&client, &target, &state);
            }
        });
        proxy
    }

    /// Sets what becomes of new connections.
    pub(crate) fn set_admission(&self, admission: Admission) {
        let mut listener = self.listener.lock().expect("the listener");
        // The address is bound again only once it is free.
        *listener = ProxyListener::Refused;
        *listener = match admission {
            Admission::Open => ProxyListener::Open(bind_listener(self.address)),
            Admission::Refused => ProxyListener::Refused,
            Admission::Unanswered => unanswered_listener(self.address),
        };
    }

    /// Returns how many connections were accepted.
    pub(crate) fn accepted(&self) -> usize {
        self.state.accepted.load(Ordering::Relaxed)
    }

    /// Returns the address at which the proxy listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Delays the bytes of both directions; zero sets no delay.
    pub(crate) fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.state.delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Blocks one direction, or relays it again. Blocked bytes are kept.
    pub(crate) fn set_blocked(&self, direction: LinkDirection, is_blocked: bool) {
        self.state.blocks(direction).store(is_blocked, Ordering::Relaxed);
    }

    /// Makes all open connections silent for good, without a reset; new ones work.
    pub(crate) fn silence_open(&self) {
        self.state.silences.fetch_add(1, Ordering::Relaxed);
    }

    /// Resets all open connections.
    pub(crate) fn reset_all(&self) {
        self.state.resets.fetch_add(1, Ordering::Relaxed);
    }
}

/// Listens at `address`; the system may free it only some time after the last listener was closed.
fn bind_listener(address: SocketAddr) -> TcpListener {
    let mut listener = TcpListener::bind(address);
    for _ in 0..BIND_ATTEMPTS {
        if listener.is_ok() {
            break;
        }
        sleep(POLL_INTERVAL);
        listener = TcpListener::bind(address);
    }
    let listener = listener.expect("the proxy binds its address");
    listener.set_nonblocking(true).expect("the proxy polls its listener");
    listener
}

/// Returns a listener that answers no further connection.
fn unanswered_listener(address: SocketAddr) -> ProxyListener {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    listener.set_reuse_address(true).expect("the address is reused");
    // Binds only once a listener of the usual kind could.
    drop(bind_listener(address));
    listener.bind(&address.into()).expect("the proxy binds its address");
    listener.listen(0).expect("the proxy listens");
    let queued = (0..QUEUE_FILL).map(|_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_nonblocking(true).expect("a connection without waiting");
        // The connection is established in the background.
        let _ = socket.connect(&address.into());
        socket
    });
    let queued = queued.collect();
    ProxyListener::Unanswered { _listener: listener, _queued: queued }
}

/// Returns the next connection, if there is one.
fn accept(listener: &Mutex<ProxyListener>) -> Option<TcpStream> {
    let listener = listener.lock().expect("the listener");
    let ProxyListener::Open(listener) = &*listener else {
        return None;
    };
    let (stream, _) = listener.accept().ok()?;
    stream.set_nonblocking(false).ok()?;
    Some(stream)
}

/// Numbers of events when a connection was opened.
#[derive(Clone, Copy)]
struct LinkEvents {
    resets: u64,
    silences: u64,
}

/// Starts one relay thread for each direction of a connection.
fn relay_both(client: &TcpStream, target: &TcpStream, state: &Arc<LinkState>) -> io::Result<()> {
    let opened = LinkEvents {
        resets: state.resets.load(Ordering::Relaxed),
        silences: state.silences.load(Ordering::Relaxed),
    };
    for direction in [LinkDirection::ToTarget, LinkDirection::ToClient] {
        let (from, to) = match direction {
            LinkDirection::ToTarget => (client.try_clone()?, target.try_clone()?),
            LinkDirection::ToClient => (target.try_clone()?, client.try_clone()?),
        };
        from.set_read_timeout(Some(POLL_INTERVAL))?;
        let state = Arc::clone(state);
        thread::spawn(move || relay(from, to, &state, direction, opened));
    }
    Ok(())
}

/// Relays bytes in one direction until one end closes or the connection is reset.
fn relay(
    mut from: TcpStream,
    mut to: TcpStream,
    state: &LinkState,
    direction: LinkDirection,
    opened: LinkEvents,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let is_reset = || state.resets.load(Ordering::Relaxed) != opened.resets;
    let is_silent = || state.silences.load(Ordering::Relaxed) != opened.silences;
    while !is_reset() {
        let count = match from.read(&mut buffer) {
            Ok(count) => count,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                continue;
            },
            Err(_) => break,
        };
        sleep(Duration::from_millis(state.delay_ms.load(Ordering::Relaxed)));
        while state.blocks(direction).load(Ordering::Relaxed) && !is_reset() {
            sleep(POLL_INTERVAL);
        }
        if is_silent() {
            // Neither end learns what the other one sends, or that it has closed.
            if count == 0 {
                return;
            }
            continue;
        }
        if count == 0 {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        if is_reset() || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    reset_connection(&from);
    reset_connection(&to);
}

/// Closes a connection by a TCP reset.
fn reset_connection(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

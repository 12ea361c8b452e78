//! A TCP proxy on the loopback interface that delays, blocks or resets its connections.

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
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use socket2::SockRef;

/// Interval at which a relay thread checks the faults that are set.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

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

/// Faults that are set, shared with the relay threads.
#[derive(Debug, Default)]
struct LinkState {
    delay_ms: AtomicU64,
    blocks_to_target: AtomicBool,
    blocks_to_client: AtomicBool,
    /// Number of resets; a connection that was opened before the last one is reset.
    resets: AtomicU64,
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
}

impl FaultProxy {
    /// Starts a proxy for `target`, which runs until the test process ends.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("the proxy binds a port");
        let address = listener.local_addr().expect("the proxy has an address");
        let state = Arc::new(LinkState::default());
        let proxy_state = Arc::clone(&state);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(target) = TcpStream::connect(target) else {
                    reset_connection(&client);
                    continue;
                };
                let _ = relay_both(&client, &target, &proxy_state);
            }
        });
        Self { address, state }
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

    /// Resets all open connections.
    pub(crate) fn reset_all(&self) {
        self.state.resets.fetch_add(1, Ordering::Relaxed);
    }
}

/// Starts one relay thread for each direction of a connection.
fn relay_both(client: &TcpStream, target: &TcpStream, state: &Arc<LinkState>) -> io::Result<()> {
    let initial_resets = state.resets.load(Ordering::Relaxed);
    for direction in [LinkDirection::ToTarget, LinkDirection::ToClient] {
        let (from, to) = match direction {
            LinkDirection::ToTarget => (client.try_clone()?, target.try_clone()?),
            LinkDirection::ToClient => (target.try_clone()?, client.try_clone()?),
        };
        from.set_read_timeout(Some(POLL_INTERVAL))?;
        let state = Arc::clone(state);
        thread::spawn(move || relay(from, to, &state, direction, initial_resets));
    }
    Ok(())
}

/// Relays bytes in one direction until one end closes or the connection is reset.
fn relay(
    mut from: TcpStream,
    mut to: TcpStream,
    state: &LinkState,
    direction: LinkDirection,
    initial_resets: u64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let is_reset = || state.resets.load(Ordering::Relaxed) != initial_resets;
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

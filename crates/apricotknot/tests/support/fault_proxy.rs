//! A proxy on the loopback that delays, holds back or breaks what passes it.

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

/// Longest time for which a pump does not look at the state of the link.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes that are passed on at once.
const PART_BYTES: usize = 16 * 1_024;

/// Which way bytes go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkWay {
    /// From the side that connects.
    Out,
    /// To the side that connects.
    Back,
}

/// What happens on a link.
#[derive(Debug, Default)]
struct LinkState {
    delay_ms: AtomicU64,
    holds_out: AtomicBool,
    holds_back: AtomicBool,
    /// Connections that were made before this grew are broken.
    breaks: AtomicU64,
}

impl LinkState {
    fn holds(&self, way: LinkWay) -> &AtomicBool {
        match way {
            LinkWay::Out => &self.holds_out,
            LinkWay::Back => &self.holds_back,
        }
    }
}

/// Stands before one address.
pub(crate) struct FaultProxy {
    address: SocketAddr,
    state: Arc<LinkState>,
}

impl FaultProxy {
    /// Starts a proxy before `target`.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port for a proxy");
        let address = listener.local_addr().expect("the address of a proxy");
        let state = Arc::new(LinkState::default());
        let own = Arc::clone(&state);
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(target) = TcpStream::connect(target) else {
                    break_off(&caller);
                    continue;
                };
                let _ = pump_both(&caller, &target, &own);
            }
        });
        Self { address, state }
    }

    /// Returns the address to connect to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Delays all that passes.
    pub(crate) fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.state.delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Holds back all that goes one way, or lets it go on.
    pub(crate) fn set_held(&self, way: LinkWay, is_held: bool) {
        self.state.holds(way).store(is_held, Ordering::Relaxed);
    }

    /// Resets all connections.
    pub(crate) fn break_all(&self) {
        self.state.breaks.fetch_add(1, Ordering::Relaxed);
    }
}

fn pump_both(caller: &TcpStream, target: &TcpStream, state: &Arc<LinkState>) -> io::Result<()> {
    let began = state.breaks.load(Ordering::Relaxed);
    for way in [LinkWay::Out, LinkWay::Back] {
        let (from, to) = match way {
            LinkWay::Out => (caller.try_clone()?, target.try_clone()?),
            LinkWay::Back => (target.try_clone()?, caller.try_clone()?),
        };
        from.set_read_timeout(Some(LOOK_INTERVAL))?;
        let state = Arc::clone(state);
        thread::spawn(move || pump(from, to, &state, way, began));
    }
    Ok(())
}

/// Passes bytes on until an end closes or the link breaks.
fn pump(mut from: TcpStream, mut to: TcpStream, state: &LinkState, way: LinkWay, began: u64) {
    let mut part = vec![0; PART_BYTES];
    let is_broken = || state.breaks.load(Ordering::Relaxed) != began;
    while !is_broken() {
        let count = match from.read(&mut part) {
            Ok(count) => count,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                continue;
            },
            Err(_) => break,
        };
        sleep(Duration::from_millis(state.delay_ms.load(Ordering::Relaxed)));
        while state.holds(way).load(Ordering::Relaxed) && !is_broken() {
            sleep(LOOK_INTERVAL);
        }
        if count == 0 {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        if is_broken() || to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    break_off(&from);
    break_off(&to);
}

/// Ends a connection by a reset.
fn break_off(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

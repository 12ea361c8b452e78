//! Choice of addresses for processes whose addresses must be known before they start.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use super::FleetError;

/// First port of the range; the range is below the ephemeral ports of the operating system.
const FIRST_PORT: u16 = 10_000;

/// Number of ports in the range.
const PORT_COUNT: u16 = 22_000;

/// First byte after 127 of the loopback addresses of the processes.
const FLEET_NETWORK: u8 = 128;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a local address on which no process listens.
///
/// The address is bound only later, by a child. Each test process has a loopback address of its own,
/// so no other one can take it until then.
pub(super) fn free_address() -> Result<SocketAddr, FleetError> {
    let [_, high, middle, low] = process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, FLEET_NETWORK | high, middle, low);
    for _ in 0..PORT_COUNT {
        let port = FIRST_PORT + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let address = SocketAddr::from((host, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(FleetError::NoPort)
}

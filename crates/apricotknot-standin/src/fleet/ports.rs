//! Choice of ports for processes whose addresses must be known before they start.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use super::FleetError;

/// First port of the range; the range is below the ephemeral ports of the operating system.
const FIRST_PORT: u32 = 10_000;

/// Number of ports in the range.
const PORT_COUNT: u32 = 22_000;

/// Distance between the first ports that two test processes with successive ids try.
const PROCESS_STRIDE: u32 = 211;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns a local address whose port no process listens on at the time of the call.
pub(super) fn free_address() -> Result<SocketAddr, FleetError> {
    let start = process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = (FIRST_PORT + offset % PORT_COUNT) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(FleetError::NoPort)
}

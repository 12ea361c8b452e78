//! What the other side of a connection has acknowledged of the bytes that were sent.
//!
//! A kernel takes bytes long before they arrive. If a process ends before it has read all of them, its
//! kernel first ends the connection as in order, and resets it only once further bytes arrive.

use std::io;
use std::time::Duration;

use actix_rt::net::TcpStream;
use nix::sys::socket::getsockopt;
use nix::sys::socket::sockopt::GetStruct;

/// Time after which bytes that were not acknowledged are looked at again; the kernel tells of a reset
/// and of acknowledgements, but wakes nobody for the last of them.
pub(crate) const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// State of a connection that is closed, or was reset; `TCP_CLOSE` in Linux's `net/tcp_states.h`.
const CLOSED_STATE: u8 = 7;

/// What has become of the bytes that were sent on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delivery {
    /// The other side has acknowledged all of them.
    Acknowledged,
    /// The other side has not acknowledged some of them yet.
    Outstanding {
        /// Most bytes that may be missing; those on their way are counted in whole segments.
        bytes: u64,
    },
    /// A peer of an earlier build relays, and does not tell.
    Unknown,
}

/// Start of `struct tcp_info` in Linux's `linux/tcp.h`, as it is since Linux 4.6; the kernel only adds
/// to its end.
#[derive(Clone, Copy, Debug)]
#[repr(C)]
struct TcpInfo {
    state: u8,
    _flags: [u8; 7],
    _timeouts_us: [u32; 2],
    /// Size of the segments that are sent, in bytes.
    send_segment_bytes: u32,
    _receive_segment_bytes: u32,
    /// Segments that were sent and not acknowledged.
    unacknowledged_segments: u32,
    _path: [u32; 19],
    _totals: [u64; 4],
    _segments: [u32; 2],
    /// Bytes that the kernel has taken and not sent.
    unsent_bytes: u32,
    _shortest_round_trip_us: u32,
}

/// Socket option that reads [`TcpInfo`].
#[derive(Clone, Copy, Debug)]
struct TcpInfoOption;

nix::getsockopt_impl!(
    TcpInfoOption,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    TcpInfo,
    GetStruct<TcpInfo>
);

/// Returns what has become of the bytes that were sent on a connection whose sending side is open.
///
/// # Errors
///
/// Returns the error with which the connection failed; the kernel reports it once.
pub(crate) fn delivery(stream: &TcpStream) -> io::Result<Delivery> {
    let info = getsockopt(stream, TcpInfoOption)?;
    // A reset sets the error before it clears the counts, so the error is looked at after them.
    if let Some(error) = stream.take_error()? {
        return Err(error);
    }
    if info.state == CLOSED_STATE {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let on_their_way = u64::from(info.unacknowledged_segments) * u64::from(info.send_segment_bytes);
    match on_their_way + u64::from(info.unsent_bytes) {
        0 => Ok(Delivery::Acknowledged),
        bytes => Ok(Delivery::Outstanding { bytes }),
    }
}

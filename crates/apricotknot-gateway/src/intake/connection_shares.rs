//! How many connections each interface of a node may hold.

use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;

/// Descriptors beside sockets, such as those of files and timers.
const FILE_DESCRIPTORS: usize = 16;

/// Part of all descriptors that is left unused.
const SPARE_DIVISOR: usize = 20;

/// Descriptors for connections to the key-value service and to the API for duties.
const STORE_DESCRIPTORS: usize = 16;

/// Part of the sockets that connections of the operations interface may take.
const OPERATIONS_DIVISOR: usize = 8;

/// Part of the sockets that connections of peers may take.
const PEERS_DIVISOR: usize = 8;

/// Sockets of a call or of a relayed connection: its own, and that to an endpoint.
const SOCKETS_PER_CALL: usize = 2;

/// Most connections of the operations interface.
const MAX_OPERATIONS: usize = 64;

/// Part of the memory of a machine that the connections of callers may occupy.
const CONNECTION_MEMORY_DIVISOR: usize = 3;

/// Memory of a connection beside the bodies of its requests, in bytes: buffers, head and task.
const CONNECTION_BYTES: usize = 48 * 1_024;

/// Largest number of connections on each interface of a node.
///
/// The rest of the descriptors is for as many connections to endpoints as callers and peers need, and
/// for the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionShares {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of the balancer and of operators.
    pub operations: usize,
    /// Connections of peers, each of which may need another one to an endpoint.
    pub peers: usize,
}

impl ConnectionShares {
    /// Divides `descriptors` on a machine with `memory_bytes` bytes of memory.
    pub fn of(descriptors: usize, memory_bytes: usize) -> Self {
        let reserve = FILE_DESCRIPTORS + descriptors / SPARE_DIVISOR;
        let sockets = descriptors.saturating_sub(reserve);
        let in_memory = memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        let operations = (sockets / OPERATIONS_DIVISOR).clamp(1, MAX_OPERATIONS);
        let peers = (sockets / PEERS_DIVISOR).max(1);
        let taken = operations + peers * SOCKETS_PER_CALL + STORE_DESCRIPTORS;
        let callers = sockets.saturating_sub(taken) / SOCKETS_PER_CALL;
        Self { callers: callers.min(in_memory).max(1), operations, peers }
    }
}

/// Returns the descriptors that the process may have open, of which settings allow `most`.
pub fn available_descriptors(most: usize) -> usize {
    let allowed = getrlimit(Resource::RLIMIT_NOFILE)
        .map_or(most, |(soft, _)| usize::try_from(soft).unwrap_or(usize::MAX));
    allowed.min(most)
}

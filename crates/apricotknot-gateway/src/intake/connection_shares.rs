//! How many connections each interface of a node may hold.

use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;

/// Descriptors beside sockets, such as those of files and timers.
const FILE_DESCRIPTORS: usize = 16;

/// Part of all descriptors that is left unused.
const SPARE_DIVISOR: usize = 20;

/// Most connections of the operations interface.
const MAX_OPERATIONS: usize = 64;

/// Part of the memory of a machine that the connections of callers may occupy.
const CONNECTION_MEMORY_DIVISOR: usize = 3;

/// Memory of a connection beside the bodies of its requests, in bytes: buffers, head and task.
const CONNECTION_BYTES: usize = 48 * 1_024;

/// Largest number of connections on each interface of a node; the rest of the descriptors is for
/// connections to endpoints and to the key-value service.
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
        Self {
            callers: (sockets / 2).min(in_memory).max(1),
            operations: (sockets / 8).clamp(1, MAX_OPERATIONS),
            peers: (sockets / 8).max(1),
        }
    }
}

/// Returns the descriptors that the process may have open, of which settings allow `most`.
pub fn available_descriptors(most: usize) -> usize {
    let allowed = getrlimit(Resource::RLIMIT_NOFILE)
        .map_or(most, |(soft, _)| usize::try_from(soft).unwrap_or(usize::MAX));
    allowed.min(most)
}

//! Whether a node may trust what it believes of itself.

use crate::types::MonotonicTime;

/// Says whether the node may act on what it owns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnStatus {
    /// The node started or woke and has not been acknowledged since.
    Unconfirmed {
        /// When it started or woke.
        since: MonotonicTime,
    },
    /// A peer acknowledged the node, or there is none.
    Confirmed,
    /// The node leaves.
    Leaving,
}

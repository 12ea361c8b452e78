//! Status of the node that holds the table.

use crate::types::MonotonicTime;

/// Status of this node; it may act as the owner of its pools only while confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnStatus {
    /// The node started or resumed, and no peer has acknowledged it since.
    Unconfirmed {
        /// Time at which it started or resumed.
        since: MonotonicTime,
    },
    /// A peer acknowledged the node, or it has no peer.
    Confirmed,
    /// The node leaves the fleet.
    Leaving,
}

//! Term in which one node performs a duty.

use crate::types::FencingNumber;
use crate::types::MonotonicTime;

/// Term in which this node holds a duty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DutyTerm {
    /// Orders the terms of all nodes; larger than that of each earlier term.
    pub fence: FencingNumber,
    /// Time from which the node may act.
    pub since: MonotonicTime,
    /// Time from which it may no longer act, unless the lease is renewed.
    pub until: MonotonicTime,
}

//! What the task of one duty works with.

use apricotknot_core::types::NodeId;
use slog::Logger;

use super::DutyPermit;
use super::DutySettings;
use crate::clock::BootClock;

/// Holds what the task of one duty needs to perform it; all clones share the permit.
#[derive(Clone, Debug)]
pub struct DutyTools<S, A> {
    /// Name of this node.
    pub node: NodeId,
    /// Shows whether this node holds the duty, and the fencing number of its calls.
    pub permit: DutyPermit,
    /// Makes the calls; it refuses those for which the permit is over.
    pub api: A,
    /// Client of the key-value service.
    pub store: S,
    /// Clock of the permit.
    pub clock: BootClock,
    /// Settings of the duties.
    pub settings: DutySettings,
    /// Logger of the control thread.
    pub logger: Logger,
}

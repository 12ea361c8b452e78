//! Calls that the ledger is tracking.

use super::CallKey;
use super::ContentDigest;
use super::LedgerTime;
use super::SendPermit;
use crate::types::AttemptId;
use crate::types::MonotonicTime;

/// Identifies one attempt of a caller at a call; unique across nodes and restarts.
pub type CallId = AttemptId;

/// Phase of a call in the ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallPhase {
    /// The intent is not known to be durable.
    Pending,
    /// The call may be sent.
    Permitted(SendPermit),
}

/// Holds a call that the ledger is tracking.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    pub(super) key: CallKey,
    pub(super) content: ContentDigest,
    pub(super) deadline: MonotonicTime,
    pub(super) phase: CallPhase,
    /// Start of the first write that may have made the intent durable.
    pub(super) write_began: Option<LedgerTime>,
    /// Whether the response to such a write was lost, so that it may or may not have taken effect.
    pub(super) is_ambiguous: bool,
}

impl PendingCall {
    /// Creates a pending call whose intent is not written yet.
    pub(super) fn new(key: CallKey, content: ContentDigest, deadline: MonotonicTime) -> Self {
        let phase = CallPhase::Pending;
        Self { key, content, deadline, phase, write_began: None, is_ambiguous: false }
    }
}

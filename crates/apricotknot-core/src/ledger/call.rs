//! Calls that the ledger handles at present.

use super::CallKey;
use super::ContentDigest;
use super::LedgerTime;
use super::SendPermit;
use crate::types::AttemptId;
use crate::types::MonotonicTime;

/// Identifies one try of a caller to have a call run; unique across nodes and restarts.
pub type CallId = AttemptId;

/// Says how far a call has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallPhase {
    /// Its intent is not known to be durable.
    Pending,
    /// It may be sent.
    Permitted(SendPermit),
}

/// Holds one call.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    pub(super) key: CallKey,
    pub(super) content: ContentDigest,
    pub(super) deadline: MonotonicTime,
    pub(super) phase: CallPhase,
    /// When the first write began that may have made the intent durable.
    pub(super) write_began: Option<LedgerTime>,
    /// Whether the answer to such a write was lost.
    pub(super) is_ambiguous: bool,
}

impl PendingCall {
    /// Creates a call whose intent was not written yet.
    pub(super) fn new(key: CallKey, content: ContentDigest, deadline: MonotonicTime) -> Self {
        let phase = CallPhase::Pending;
        Self { key, content, deadline, phase, write_began: None, is_ambiguous: false }
    }
}

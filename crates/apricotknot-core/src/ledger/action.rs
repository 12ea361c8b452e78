//! Actions that the ledger requests.

use super::CallAnswer;
use super::CallId;
use super::IoNumber;
use super::SendPermit;
use super::ShardIndex;
use crate::outcome::CallerError;
use crate::types::RevisionNumber;

/// Requests an operation from the node, or decides a call.
///
/// Each call that begins gets exactly one of [`Self::Permit`], [`Self::Refuse`] and
/// [`Self::Replay`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerAction {
    /// Read a shard from the store.
    ReadShard {
        /// Shard to read.
        shard: ShardIndex,
        /// Number to return with the response.
        io: IoNumber,
    },
    /// Write a shard if it still has the expected revision.
    SwapShard {
        /// Shard to write.
        shard: ShardIndex,
        /// Number to return with the response.
        io: IoNumber,
        /// Revision that the shard must have; 0 if it must not exist.
        expected: RevisionNumber,
        /// New encoded value.
        value: Vec<u8>,
    },
    /// The intent is durable: the call may be sent if
    /// [`start_send`](super::IdempotencyLedger::start_send) allows it just before the first byte.
    Permit {
        /// Call that may be sent.
        call: CallId,
        /// Moments until which it may be sent.
        permit: SendPermit,
    },
    /// The call must not be sent.
    Refuse {
        /// Call that is refused.
        call: CallId,
        /// Error to return to the caller.
        error: CallerError,
    },
    /// The call ran before; its recorded answer is replayed.
    Replay {
        /// Call to answer.
        call: CallId,
        /// Recorded answer.
        answer: CallAnswer,
    },
}

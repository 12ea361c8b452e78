//! Events that the ledger handles.

use super::CallAnswer;
use super::CallId;
use super::CallKey;
use super::ContentDigest;
use super::IoNumber;
use super::ShardIndex;
use crate::types::MonotonicTime;
use crate::types::RevisionNumber;

/// Reports an event to the ledger.
///
/// Responses of the store carry the number of their action; a response with any other number is
/// dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerEvent {
    /// A caller requests that a call run at most once.
    Begin {
        /// Identifies the attempt on all nodes.
        call: CallId,
        /// Key of the call.
        key: CallKey,
        /// Digest of the request.
        content: ContentDigest,
        /// Moment at which the call is refused unless it was decided before.
        deadline: MonotonicTime,
    },
    /// The endpoint answered the call.
    Completed {
        /// Call that ran.
        call: CallId,
        /// Answer to record.
        answer: CallAnswer,
    },
    /// The call did not run and will not be sent.
    NotRun {
        /// Call that did not run.
        call: CallId,
    },
    /// The call may have run, and its answer is lost.
    Lost {
        /// Call whose answer is lost.
        call: CallId,
    },
    /// A shard was read.
    ShardRead {
        /// Shard that was read.
        shard: ShardIndex,
        /// Number of the action.
        io: IoNumber,
        /// Revision of the value; 0 if there is none.
        revision: RevisionNumber,
        /// Value, if there is one.
        value: Option<Vec<u8>>,
    },
    /// The shard was written.
    SwapSucceeded {
        /// Shard that was written.
        shard: ShardIndex,
        /// Number of the action.
        io: IoNumber,
        /// Revision of the new value.
        revision: RevisionNumber,
    },
    /// The shard was not written because it has another revision.
    SwapFailed {
        /// Shard that was not written.
        shard: ShardIndex,
        /// Number of the action.
        io: IoNumber,
        /// Revision of the present value; 0 if there is none.
        revision: RevisionNumber,
        /// Present value, if there is one.
        value: Option<Vec<u8>>,
    },
    /// The response to the write was lost; the write may have taken effect, or may do so later.
    SwapUnknown {
        /// Shard that may have been written.
        shard: ShardIndex,
        /// Number of the action.
        io: IoNumber,
    },
    /// The store was unreachable, or a read failed: nothing was written.
    StoreDown {
        /// Shard of the action that failed.
        shard: ShardIndex,
        /// Number of the action.
        io: IoNumber,
    },
    /// Time has passed; see [`next_wake`](super::IdempotencyLedger::next_wake).
    Tick,
}

//! State of one shard on a node.

use std::collections::VecDeque;

use super::CallAnswer;
use super::CallId;
use super::CallKey;
use super::ShardValue;
use crate::types::MonotonicTime;
use crate::types::RevisionNumber;

/// Sequence number of a read or write of one node.
pub type IoNumber = u64;

/// Largest number of answers and withdrawals of one shard that wait to be written.
const MAX_UPDATES: usize = 4_096;

/// Update to the record of a call whose intent was written.
#[derive(Clone, Debug)]
pub(super) struct RecordUpdate {
    pub(super) key: CallKey,
    pub(super) call: CallId,
    /// Answer to record; none to withdraw the intent of a call that did not run.
    pub(super) answer: Option<CallAnswer>,
}

/// Holds a write that is in flight.
#[derive(Clone, Debug)]
pub(super) struct ShardSwap {
    pub(super) calls: Vec<CallId>,
    pub(super) updates: Vec<RecordUpdate>,
    pub(super) value: ShardValue,
    pub(super) bytes: usize,
}

/// Read or write that is in flight for a shard.
#[derive(Clone, Debug, Default)]
pub(super) enum ShardIo {
    /// Nothing is in flight.
    #[default]
    Idle,
    /// A read is in flight.
    Reading(IoNumber),
    /// A write is in flight.
    Swapping(IoNumber, ShardSwap),
}

/// Holds the value that was last read or written.
#[derive(Clone, Debug)]
pub(super) struct CachedValue {
    pub(super) revision: RevisionNumber,
    pub(super) value: ShardValue,
    pub(super) bytes: usize,
    /// Time at which the value was read or written.
    pub(super) cached_at: MonotonicTime,
}

/// Holds the cached value of one shard, and the calls and updates that wait for it.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardState {
    pub(super) cached: Option<CachedValue>,
    pub(super) io: ShardIo,
    pub(super) calls: VecDeque<CallId>,
    pub(super) updates: VecDeque<RecordUpdate>,
    /// Time at which the oldest update began to wait; zero if an update must not wait.
    pub(super) updates_since: MonotonicTime,
    /// Whether the rate limit already allows the next write.
    pub(super) has_write_turn: bool,
    /// Moment before which the store is not accessed again.
    pub(super) retry_at: MonotonicTime,
}

impl ShardState {
    /// Queues an update; drops the oldest one if the queue is full.
    pub(super) fn push_update(&mut self, update: RecordUpdate, now: MonotonicTime) {
        if update.answer.is_none() {
            // An intent prevents its caller from retrying until it is withdrawn.
            self.updates_since = MonotonicTime::ZERO;
        } else if self.updates.is_empty() {
            self.updates_since = now;
        }
        if self.updates.len() == MAX_UPDATES {
            self.updates.pop_front();
        }
        self.updates.push_back(update);
    }

    /// Puts the calls and updates of a write back at the front of the queues.
    pub(super) fn requeue_swap(&mut self, swap: ShardSwap) {
        for call in swap.calls.into_iter().rev() {
            self.calls.push_front(call);
        }
        for update in swap.updates.into_iter().rev() {
            self.updates.push_front(update);
        }
        self.updates.truncate(MAX_UPDATES);
    }

    /// Removes and returns the read or write in flight if it has the number `io`.
    pub(super) fn finish_io(&mut self, io: IoNumber) -> Option<ShardIo> {
        match &self.io {
            ShardIo::Reading(number) | ShardIo::Swapping(number, _) if *number == io => {
                Some(std::mem::take(&mut self.io))
            },
            _ => None,
        }
    }

    /// Returns whether no read or write is in flight.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.io, ShardIo::Idle)
    }
}

//! One shard as a node knows it.

use std::collections::VecDeque;

use super::CallAnswer;
use super::CallId;
use super::CallKey;
use super::ShardValue;
use crate::types::MonotonicTime;
use crate::types::RevisionNumber;

/// Numbers the reads and writes of one node.
pub type IoNumber = u64;

/// Most answers and withdrawals of one shard that wait to be written.
const MAX_UPDATES: usize = 4_096;

/// Changes the record of a call whose intent was written.
#[derive(Clone, Debug)]
pub(super) struct RecordUpdate {
    pub(super) key: CallKey,
    pub(super) call: CallId,
    /// Answer to record; none to withdraw the intent of a call that did not run.
    pub(super) answer: Option<CallAnswer>,
}

/// Holds a write that is under way.
#[derive(Clone, Debug)]
pub(super) struct ShardSwap {
    pub(super) calls: Vec<CallId>,
    pub(super) updates: Vec<RecordUpdate>,
    pub(super) value: ShardValue,
    pub(super) bytes: usize,
}

/// Says what is under way for a shard.
#[derive(Clone, Debug, Default)]
pub(super) enum ShardIo {
    /// Nothing.
    #[default]
    Idle,
    /// A read.
    Reading(IoNumber),
    /// A write.
    Swapping(IoNumber, ShardSwap),
}

/// Holds a value that was read or written.
#[derive(Clone, Debug)]
pub(super) struct CachedValue {
    pub(super) revision: RevisionNumber,
    pub(super) value: ShardValue,
    pub(super) bytes: usize,
    /// When it was read or written.
    pub(super) cached_at: MonotonicTime,
}

/// Holds what a node knows of one shard and waits to write to it.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardState {
    pub(super) cached: Option<CachedValue>,
    pub(super) io: ShardIo,
    pub(super) calls: VecDeque<CallId>,
    pub(super) updates: VecDeque<RecordUpdate>,
    /// When the oldest update began to wait; zero if one must not wait.
    pub(super) updates_since: MonotonicTime,
    /// Whether the next write need not wait for its turn.
    pub(super) has_write_turn: bool,
    /// Moment before which the store is not tried again.
    pub(super) retry_at: MonotonicTime,
}

impl ShardState {
    /// Adds an update; drops the oldest when too many wait.
    pub(super) fn push_update(&mut self, update: RecordUpdate, now: MonotonicTime) {
        if update.answer.is_none() {
            // Until it is withdrawn, an intent keeps its caller from trying again.
            self.updates_since = MonotonicTime::ZERO;
        } else if self.updates.is_empty() {
            self.updates_since = now;
        }
        if self.updates.len() == MAX_UPDATES {
            self.updates.pop_front();
        }
        self.updates.push_back(update);
    }

    /// Puts the calls and updates of a write back in front of those that wait.
    pub(super) fn requeue_swap(&mut self, swap: ShardSwap) {
        for call in swap.calls.into_iter().rev() {
            self.calls.push_front(call);
        }
        for update in swap.updates.into_iter().rev() {
            self.updates.push_front(update);
        }
        self.updates.truncate(MAX_UPDATES);
    }

    /// Ends what is under way if it has the number `io`; returns it.
    pub(super) fn finish_io(&mut self, io: IoNumber) -> Option<ShardIo> {
        match &self.io {
            ShardIo::Reading(number) | ShardIo::Swapping(number, _) if *number == io => {
                Some(std::mem::take(&mut self.io))
            },
            _ => None,
        }
    }

    /// Returns whether nothing is under way.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.io, ShardIo::Idle)
    }
}

//! State machine of the ledger on one node.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::CallAnswer;
use super::CallId;
use super::CallKey;
use super::IoNumber;
use super::LedgerAction;
use super::LedgerEvent;
use super::LedgerPolicy;
use super::LedgerTime;
use super::ShardIndex;
use super::ShardValue;
use super::call::CallPhase;
use super::call::PendingCall;
use super::shard::CachedValue;
use super::shard::RecordUpdate;
use super::shard::ShardIo;
use super::shard::ShardState;
use crate::outcome::CallerError;
use crate::outcome::CallerErrorKind;
use crate::types::MonotonicTime;
use crate::types::RevisionNumber;

/// Counts the operations of the ledger.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerCounts {
    /// Reads that were requested.
    pub reads: u64,
    /// Writes that were requested.
    pub swaps: u64,
    /// Writes that failed because another node wrote first.
    pub conflicts: u64,
    /// Intents and answers that were written.
    pub written: u64,
}

/// Permits each non-repeatable call to be sent at most once, whichever nodes receive it.
///
/// It performs no I/O: events go in, and the requested reads and writes come out as actions.
#[derive(Debug)]
pub struct IdempotencyLedger {
    pub(super) policy: LedgerPolicy,
    pub(super) calls: BTreeMap<CallId, PendingCall>,
    pub(super) shards: Vec<ShardState>,
    pub(super) next_io: IoNumber,
    /// Time at which the writes so far would have been due at evenly spaced intervals.
    pub(super) swaps_due: MonotonicTime,
    /// Shards that wait until the rate limit allows a write, in order.
    pub(super) write_queue: VecDeque<ShardIndex>,
    /// Number of calls whose intents are not known to be durable.
    pub(super) pending: usize,
    pub(super) counts: LedgerCounts,
}

impl IdempotencyLedger {
    /// Creates a ledger without calls or cached shards.
    pub fn new(policy: LedgerPolicy) -> Self {
        Self {
            policy,
            calls: BTreeMap::new(),
            shards: (0..CallKey::SHARDS).map(|_| ShardState::default()).collect(),
            next_io: 1,
            swaps_due: MonotonicTime::ZERO,
            write_queue: VecDeque::new(),
            pending: 0,
            counts: LedgerCounts::default(),
        }
    }

    /// Sets the limits; for example, the write interval after the number of nodes has changed.
    pub fn set_policy(&mut self, policy: LedgerPolicy) {
        self.policy = policy;
    }

    /// Handles one event at `time`, and returns the resulting actions.
    pub fn handle(&mut self, event: LedgerEvent, time: LedgerTime) -> Vec<LedgerAction> {
        match event {
            LedgerEvent::Begin { call, key, content, deadline } => {
                self.begin(call, PendingCall::new(key, content, deadline), time)
            },
            LedgerEvent::Completed { call, answer } => self.update(call, Some(answer), time),
            LedgerEvent::NotRun { call } => self.update(call, None, time),
            LedgerEvent::Lost { call } => {
                self.remove(call);
                Vec::new()
            },
            LedgerEvent::ShardRead { shard, io, revision, value } => {
                self.handle_read(shard, io, (revision, value), time)
            },
            LedgerEvent::SwapFailed { shard, io, revision, value } => {
                self.handle_swap_conflict(shard, io, (revision, value), time)
            },
            LedgerEvent::SwapSucceeded { shard, io, revision } => {
                self.handle_swap_success(shard, io, revision, time)
            },
            LedgerEvent::SwapUnknown { shard, io } => self.handle_swap_unknown(shard, io),
            LedgerEvent::StoreDown { shard, io } => self.handle_outage(shard, io, time),
            LedgerEvent::Tick => self.tick(time),
        }
    }

    /// Returns whether a call may still be sent.
    ///
    /// The caller must check this just before it writes the first byte of the call.
    ///
    /// Returns false if the permit has expired. The call must then not be sent, and the caller must
    /// report [`LedgerEvent::NotRun`].
    pub fn start_send(&mut self, call: CallId, time: LedgerTime) -> bool {
        match self.calls.get(&call).map(|call| call.phase) {
            Some(CallPhase::Permitted(permit)) => permit.allows(time),
            _ => false,
        }
    }

    /// Queues a new call, or refuses it when too many wait or the store has just failed.
    fn begin(&mut self, id: CallId, call: PendingCall, time: LedgerTime) -> Vec<LedgerAction> {
        let shard = call.key.shard();
        if self.pending >= self.policy.max_pending {
            return vec![refusal(id, CallerErrorKind::LedgerFull)];
        }
        if time.monotonic < self.shards[shard as usize].retry_at {
            return vec![refusal(id, CallerErrorKind::LedgerUnavailable)];
        }
        self.pending += 1;
        self.calls.insert(id, call);
        self.shards[shard as usize].calls.push_back(id);
        self.flush(shard, false, time)
    }

    /// Queues the answer of a call, or the withdrawal of its intent.
    fn update(
        &mut self,
        id: CallId,
        answer: Option<CallAnswer>,
        time: LedgerTime,
    ) -> Vec<LedgerAction> {
        let Some(call) = self.remove(id) else {
            return Vec::new();
        };
        if call.write_began.is_none() && answer.is_none() {
            return Vec::new();
        }
        let shard = call.key.shard();
        let update = RecordUpdate { key: call.key, call: id, answer };
        self.shards[shard as usize].push_update(update, time.monotonic);
        self.flush(shard, false, time)
    }

    /// Stops tracking a call.
    pub(super) fn remove(&mut self, id: CallId) -> Option<PendingCall> {
        let call = self.calls.remove(&id)?;
        if call.phase == CallPhase::Pending {
            self.pending -= 1;
        }
        Some(call)
    }

    /// Refuses the calls whose deadlines have passed, and flushes the shards that are due.
    fn tick(&mut self, time: LedgerTime) -> Vec<LedgerAction> {
        let overdue: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.phase == CallPhase::Pending && call.deadline <= time.monotonic)
            .map(|(id, _)| *id)
            .collect();
        let mut actions = Vec::new();
        for id in overdue {
            actions.push(self.refuse(id, CallerErrorKind::LedgerUnavailable, time));
        }
        // Shards that already wait for a write go first, in the order of the queue.
        let write_queue = std::mem::take(&mut self.write_queue);
        for shard in write_queue.into_iter().chain(0..CallKey::SHARDS) {
            if time.monotonic >= self.shards[shard as usize].retry_at {
                actions.extend(self.flush(shard, false, time));
            }
        }
        actions
    }

    fn handle_read(
        &mut self,
        shard: ShardIndex,
        io: IoNumber,
        value: (RevisionNumber, Option<Vec<u8>>),
        time: LedgerTime,
    ) -> Vec<LedgerAction> {
        if self.shards[shard as usize].finish_io(io).is_none() {
            return Vec::new();
        }
        if !self.cache_value(shard, value, time) {
            return self.fail_shard(shard, time);
        }
        self.flush(shard, true, time)
    }

    fn handle_swap_conflict(
        &mut self,
        shard: ShardIndex,
        io: IoNumber,
        value: (RevisionNumber, Option<Vec<u8>>),
        time: LedgerTime,
    ) -> Vec<LedgerAction> {
        let state = &mut self.shards[shard as usize];
        let Some(ShardIo::Swapping(_, swap)) = state.finish_io(io) else {
            return Vec::new();
        };
        self.counts.conflicts += 1;
        // The shard keeps its turn: its value is present now and would become stale in the queue.
        state.has_write_turn = true;
        let calls = swap.calls.clone();
        state.requeue_swap(swap);
        self.clear_write_times(&calls);
        self.charge_write(time);
        if !self.cache_value(shard, value, time) {
            return self.fail_shard(shard, time);
        }
        self.flush(shard, true, time)
    }

    fn handle_swap_success(
        &mut self,
        shard: ShardIndex,
        io: IoNumber,
        revision: RevisionNumber,
        time: LedgerTime,
    ) -> Vec<LedgerAction> {
        let state = &mut self.shards[shard as usize];
        let Some(ShardIo::Swapping(_, swap)) = state.finish_io(io) else {
            return Vec::new();
        };
        self.counts.written += (swap.calls.len() + swap.updates.len()) as u64;
        let (value, bytes) = (swap.value, swap.bytes);
        let cached_at = time.monotonic;
        state.cached = Some(CachedValue { revision, value, bytes, cached_at });
        // The cached value now contains the intents of these calls, so the flush permits them.
        for call in swap.calls.into_iter().rev() {
            state.calls.push_front(call);
        }
        self.flush(shard, false, time)
    }

    /// Reads the shard again, because the write may or may not have taken effect.
    fn handle_swap_unknown(&mut self, shard: ShardIndex, io: IoNumber) -> Vec<LedgerAction> {
        let state = &mut self.shards[shard as usize];
        let Some(ShardIo::Swapping(_, swap)) = state.finish_io(io) else {
            return Vec::new();
        };
        let calls = swap.calls.clone();
        state.requeue_swap(swap);
        state.cached = None;
        for id in calls {
            if let Some(call) = self.calls.get_mut(&id) {
                call.is_ambiguous = true;
            }
        }
        vec![self.read(shard)]
    }

    fn handle_outage(
        &mut self,
        shard: ShardIndex,
        io: IoNumber,
        time: LedgerTime,
    ) -> Vec<LedgerAction> {
        let state = &mut self.shards[shard as usize];
        match state.finish_io(io) {
            None => return Vec::new(),
            Some(ShardIo::Swapping(_, swap)) => {
                let calls = swap.calls.clone();
                state.requeue_swap(swap);
                self.clear_write_times(&calls);
            },
            Some(_) => {},
        }
        self.fail_shard(shard, time)
    }

    /// Clears the write times of `calls`, whose last write certainly had no effect.
    ///
    /// A call with an earlier ambiguous write keeps its time.
    fn clear_write_times(&mut self, calls: &[CallId]) {
        for id in calls {
            if let Some(call) = self.calls.get_mut(id).filter(|call| !call.is_ambiguous) {
                call.write_began = None;
            }
        }
    }

    /// Refuses the calls that wait for an unusable shard, and delays its next use.
    fn fail_shard(&mut self, shard: ShardIndex, time: LedgerTime) -> Vec<LedgerAction> {
        let state = &mut self.shards[shard as usize];
        state.cached = None;
        state.has_write_turn = false;
        state.retry_at = time.monotonic + self.policy.store_backoff;
        let calls: Vec<CallId> = state.calls.drain(..).collect();
        let waiting: Vec<CallId> =
            calls.into_iter().filter(|id| self.calls.contains_key(id)).collect();
        waiting
            .into_iter()
            .map(|id| self.refuse(id, CallerErrorKind::LedgerUnavailable, time))
            .collect()
    }

    /// Refuses a call that was not permitted, and withdraws its intent if it may be in the store.
    pub(super) fn refuse(
        &mut self,
        id: CallId,
        kind: CallerErrorKind,
        time: LedgerTime,
    ) -> LedgerAction {
        if let Some(call) = self.remove(id)
            && call.write_began.is_some()
        {
            let update = RecordUpdate { key: call.key, call: id, answer: None };
            let shard = call.key.shard() as usize;
            self.shards[shard].push_update(update, time.monotonic);
        }
        refusal(id, kind)
    }

    /// Caches a stored value without its expired records; returns false if it cannot be decoded.
    fn cache_value(
        &mut self,
        shard: ShardIndex,
        (revision, value): (RevisionNumber, Option<Vec<u8>>),
        time: LedgerTime,
    ) -> bool {
        let mut bytes = value.as_ref().map_or(0, Vec::len);
        let Ok(mut value) = ShardValue::decode(value.as_deref()) else {
            return false;
        };
        if value.prune(time.wall) {
            bytes = value.encode().map_or(bytes, |value| value.len());
        }
        let cached_at = time.monotonic;
        self.shards[shard as usize].cached =
            Some(CachedValue { revision, value, bytes, cached_at });
        true
    }

    /// Requests a read of a shard.
    pub(super) fn read(&mut self, shard: ShardIndex) -> LedgerAction {
        let io = self.next_io_number();
        self.counts.reads += 1;
        self.shards[shard as usize].io = ShardIo::Reading(io);
        LedgerAction::ReadShard { shard, io }
    }

    pub(super) fn next_io_number(&mut self) -> IoNumber {
        let io = self.next_io;
        self.next_io += 1;
        io
    }
}

impl IdempotencyLedger {
    /// Returns the moment at which the next [`LedgerEvent::Tick`] is due; none while idle.
    pub fn next_wake(&self) -> Option<MonotonicTime> {
        let deadlines = self
            .calls
            .values()
            .filter(|call| call.phase == CallPhase::Pending)
            .map(|call| call.deadline);
        let shards = self.shards.iter().filter(|state| state.is_idle()).filter_map(|state| {
            let work = if !state.calls.is_empty() {
                MonotonicTime::ZERO
            } else if !state.updates.is_empty() {
                state.updates_since + self.policy.answer_delay
            } else {
                return None;
            };
            Some(work.max(state.retry_at).max(self.next_swap()))
        });
        deadlines.chain(shards).min()
    }

    /// Returns the earliest moment at which the rate limit allows the next write.
    pub(super) fn next_swap(&self) -> MonotonicTime {
        let spared = self.policy.swap_interval * self.policy.swap_burst;
        self.swaps_due.saturating_sub(spared)
    }

    /// Returns how many calls wait for their intents to be written.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Returns how many answers and withdrawals wait to be written or are being written.
    pub fn pending_updates(&self) -> usize {
        let swapping = |state: &ShardState| match &state.io {
            ShardIo::Swapping(_, swap) => swap.updates.len(),
            _ => 0,
        };
        self.shards.iter().map(|state| state.updates.len() + swapping(state)).sum()
    }

    /// Returns how many calls the ledger tracks, permitted ones included.
    pub fn tracked(&self) -> usize {
        self.calls.len()
    }

    /// Returns the counts of operations since the ledger was created.
    pub fn counts(&self) -> LedgerCounts {
        self.counts
    }
}

fn refusal(call: CallId, kind: CallerErrorKind) -> LedgerAction {
    LedgerAction::Refuse { call, error: CallerError::not_run(kind) }
}

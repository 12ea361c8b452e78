//! Decides waiting calls, and writes intents and answers to the shards.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::CallAnswer;
use super::CallId;
use super::CallKey;
use super::CallRecord;
use super::IdempotencyLedger;
use super::LedgerAction;
use super::LedgerTime;
use super::SendPermit;
use super::ShardIndex;
use super::ShardValue;
use super::WallTime;
use super::call::CallPhase;
use super::decision::CallDecision;
use super::shard::CachedValue;
use super::shard::RecordUpdate;
use super::shard::ShardIo;
use super::shard::ShardSwap;
use crate::outcome::CallerErrorKind;

/// Longest media type that is recorded, in bytes.
const MAX_MEDIA_TYPE_BYTES: usize = 100;

/// Age at which a cached shard value is read again before a write.
const CACHE_LIFETIME: Duration = Duration::from_millis(5);

impl IdempotencyLedger {
    /// Decides the calls that wait for a shard, and writes their intents and the queued updates.
    ///
    /// `is_fresh` states that the cached value was just read; only then can its records lead to a
    /// refusal.
    pub(super) fn flush(
        &mut self,
        shard: ShardIndex,
        is_fresh: bool,
        time: LedgerTime,
    ) -> Vec<LedgerAction> {
        let state = &mut self.shards[shard as usize];
        if !state.is_idle() || (state.calls.is_empty() && state.updates.is_empty()) {
            return Vec::new();
        }
        let Some(cached) = state.cached.take() else {
            return vec![self.read(shard)];
        };
        let (mut actions, admitted, is_stale) =
            self.resolve_waiting(shard, &cached, is_fresh, time);
        if is_stale {
            self.requeue(shard, admitted);
            actions.push(self.read(shard));
            return actions;
        }
        let state = &mut self.shards[shard as usize];
        let updates_may_wait = time.monotonic < state.updates_since + self.policy.answer_delay;
        let has_work = !admitted.is_empty() || (!state.updates.is_empty() && !updates_may_wait);
        if !has_work || !self.acquire_write_turn(shard, time) {
            self.shards[shard as usize].cached = Some(cached);
            self.requeue(shard, admitted);
            return actions;
        }
        if !is_fresh && time.monotonic > cached.cached_at + CACHE_LIFETIME {
            // A read costs less than a write that fails because another node has written since.
            self.requeue(shard, admitted);
            actions.push(self.read(shard));
            return actions;
        }
        self.shards[shard as usize].has_write_turn = false;
        actions.extend(self.swap(shard, cached, admitted, time));
        actions
    }

    /// Returns whether a shard may be written now; otherwise, it joins the end of the write queue.
    fn acquire_write_turn(&mut self, shard: ShardIndex, time: LedgerTime) -> bool {
        if self.shards[shard as usize].has_write_turn {
            return true;
        }
        let is_first = self.write_queue.front().is_none_or(|front| *front == shard);
        if is_first && time.monotonic >= self.next_swap() {
            self.write_queue.pop_front();
            self.shards[shard as usize].has_write_turn = true;
            self.charge_write(time);
            return true;
        }
        if !self.write_queue.contains(&shard) {
            self.write_queue.push_back(shard);
        }
        false
    }

    /// Counts one write against the rate limit of writes.
    pub(super) fn charge_write(&mut self, time: LedgerTime) {
        self.swaps_due = self.swaps_due.max(time.monotonic) + self.policy.swap_interval;
    }

    /// Decides each waiting call by the cached value.
    ///
    /// Returns the actions, the calls whose intents are to be written, and whether the value is
    /// stale and must be read again first.
    fn resolve_waiting(
        &mut self,
        shard: ShardIndex,
        cached: &CachedValue,
        is_fresh: bool,
        time: LedgerTime,
    ) -> (Vec<LedgerAction>, Vec<CallId>, bool) {
        let waiting: Vec<CallId> = self.shards[shard as usize].calls.drain(..).collect();
        let mut actions = Vec::new();
        let mut admitted = Vec::new();
        let mut deferred = Vec::new();
        let mut keys = BTreeSet::new();
        let mut is_stale = false;
        for id in waiting {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let bytes = cached.bytes + admitted.len() * CallDecision::INTENT_BYTES;
            match CallDecision::for_call(
                id,
                call,
                &cached.value,
                bytes < self.policy.intent_limit,
                time,
            ) {
                CallDecision::Permit { send_by } => {
                    actions.push(self.permit(id, send_by, time));
                },
                CallDecision::Replay(answer) => {
                    self.remove(id);
                    actions.push(LedgerAction::Replay { call: id, answer });
                },
                CallDecision::Refuse(_) if !is_fresh => {
                    is_stale = true;
                    deferred.push(id);
                },
                CallDecision::Refuse(error) => {
                    self.remove(id);
                    actions.push(LedgerAction::Refuse { call: id, error });
                },
                CallDecision::Admit if keys.insert(call.key) => admitted.push(id),
                CallDecision::Admit => deferred.push(id),
            }
        }
        self.shards[shard as usize].calls.extend(deferred);
        (actions, admitted, is_stale)
    }

    /// Puts calls back at the front of the queue of a shard.
    fn requeue(&mut self, shard: ShardIndex, calls: Vec<CallId>) {
        for call in calls.into_iter().rev() {
            self.shards[shard as usize].calls.push_front(call);
        }
    }

    /// Permits a call whose intent is durable, or refuses it if its send window has passed.
    fn permit(&mut self, id: CallId, send_by_wall: WallTime, time: LedgerTime) -> LedgerAction {
        let write_began = self.calls.get(&id).and_then(|call| call.write_began).unwrap_or_default();
        let send_by = write_began.monotonic + self.policy.send_window;
        let permit = SendPermit { send_by, send_by_wall };
        if !permit.allows(time) {
            return self.refuse(id, CallerErrorKind::LedgerUnavailable, time);
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.phase = CallPhase::Permitted(permit);
            self.pending -= 1;
        }
        LedgerAction::Permit { call: id, permit }
    }

    /// Requests a write of the intents of `calls` and of the queued updates.
    ///
    /// Returns none if they do not change the shard.
    fn swap(
        &mut self,
        shard: ShardIndex,
        cached: CachedValue,
        calls: Vec<CallId>,
        time: LedgerTime,
    ) -> Option<LedgerAction> {
        let expected = cached.revision;
        let mut value = cached.value.clone();
        for id in &calls {
            let record = self.write_intent(*id, time)?;
            value.insert(record.0, record.1);
        }
        let updates: Vec<RecordUpdate> = self.shards[shard as usize].updates.drain(..).collect();
        let mut changed = !calls.is_empty();
        let mut bytes = cached.bytes + calls.len() * CallDecision::INTENT_BYTES;
        for update in &updates {
            let has_room = bytes < self.policy.body_limit;
            let recorded = update.answer.clone().map(|answer| self.limit_answer(answer, has_room));
            bytes += recorded.as_ref().map_or(0, CallDecision::answer_bytes);
            changed |= apply_update(&mut value, update, recorded);
        }
        if !changed {
            self.shards[shard as usize].cached = Some(cached);
            return None;
        }
        let encoded = value.encode().ok()?;
        let io = self.next_io_number();
        self.counts.swaps += 1;
        let bytes = encoded.len();
        let swap = ShardSwap { calls, updates, value, bytes };
        self.shards[shard as usize].io = ShardIo::Swapping(io, swap);
        Some(LedgerAction::SwapShard { shard, io, expected, value: encoded })
    }

    /// Returns the record of a call's intent, and stores the start of its first write.
    fn write_intent(&mut self, id: CallId, time: LedgerTime) -> Option<(CallKey, CallRecord)> {
        let policy = self.policy;
        let call = self.calls.get_mut(&id)?;
        call.write_began = call.write_began.or(Some(time));
        let record = CallRecord {
            content: call.content,
            attempt: id,
            send_by: time.wall + policy.send_window,
            expires: time.wall + policy.record_lifetime,
            answer: None,
        };
        Some((call.key, record))
    }
}

impl IdempotencyLedger {
    /// Drops the body and the media type of an answer if they are too large to record.
    fn limit_answer(&self, mut answer: CallAnswer, has_room: bool) -> CallAnswer {
        answer.body = answer
            .body
            .filter(|body: &Arc<[u8]>| has_room && body.len() <= self.policy.answer_limit);
        answer.content_type =
            answer.content_type.filter(|media_type| media_type.len() <= MAX_MEDIA_TYPE_BYTES);
        answer
    }
}

/// Records an answer or withdraws an intent in `value`, and returns whether `value` changed.
fn apply_update(value: &mut ShardValue, update: &RecordUpdate, answer: Option<CallAnswer>) -> bool {
    let Some(record) = value.get_mut(update.key) else {
        return false;
    };
    if record.attempt != update.call || record.answer.is_some() {
        return false;
    }
    match answer {
        Some(answer) => record.answer = Some(answer),
        None => value.remove(update.key),
    }
    true
}

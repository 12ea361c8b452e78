//! Prefix cache whose events are published late and of which some are lost.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

/// Maximum number of events that are kept for readers.
const MAX_EVENTS: usize = 4_096;

/// Holds one event and the time from which readers see it.
struct CacheEvent {
    sequence: u64,
    kind: &'static str,
    block: u64,
    visible_at: Instant,
}

/// Holds the blocks of prefilled prompts and evicts the least recently used ones.
pub(super) struct PrefixCache {
    capacity: usize,
    publish_delay: Duration,
    drop_every: u64,
    blocks: HashMap<u64, u64>,
    use_counter: u64,
    last_sequence: u64,
    events: VecDeque<CacheEvent>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize, publish_delay: Duration, drop_every: u64) -> Self {
        Self {
            capacity,
            publish_delay,
            drop_every,
            blocks: HashMap::new(),
            use_counter: 0,
            last_sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns how many leading blocks are cached, and marks them as used.
    pub(super) fn lookup(&mut self, digests: &[u64]) -> usize {
        let hits = digests.iter().take_while(|digest| self.blocks.contains_key(digest)).count();
        for digest in &digests[..hits] {
            self.use_counter += 1;
            self.blocks.insert(*digest, self.use_counter);
        }
        hits
    }

    /// Caches the blocks of a prefilled prompt.
    pub(super) fn store(&mut self, digests: &[u64], now: Instant) {
        for digest in digests.iter().take(self.capacity) {
            self.use_counter += 1;
            if self.blocks.insert(*digest, self.use_counter).is_none() {
                self.publish("stored", *digest, now);
            }
        }
        self.evict(now);
    }

    fn evict(&mut self, now: Instant) {
        let excess = self.blocks.len().saturating_sub(self.capacity);
        if excess == 0 {
            return;
        }
        let mut by_use: Vec<(u64, u64)> =
            self.blocks.iter().map(|(block, used)| (*used, *block)).collect();
        by_use.sort_unstable();
        for (_, block) in by_use.into_iter().take(excess) {
            self.blocks.remove(&block);
            self.publish("evicted", block, now);
        }
    }

    fn publish(&mut self, kind: &'static str, block: u64, now: Instant) {
        self.last_sequence += 1;
        if self.drop_every > 0 && self.last_sequence.is_multiple_of(self.drop_every) {
            return;
        }
        let visible_at = now + self.publish_delay;
        self.events.push_back(CacheEvent { sequence: self.last_sequence, kind, block, visible_at });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events with a sequence number above `after` that are visible at `now`.
    pub(super) fn events_after(&self, after: u64, now: Instant) -> Vec<Value> {
        self.events
            .iter()
            .filter(|event| event.sequence > after && event.visible_at <= now)
            .map(|event| {
                let block = format!("{:016x}", event.block);
                json!({"seq": event.sequence, "kind": event.kind, "block": block})
            })
            .collect()
    }
}

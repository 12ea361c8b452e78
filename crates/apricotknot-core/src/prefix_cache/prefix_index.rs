//! Bounded index from prefix blocks to the endpoints that hold them.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::admission::CacheChange;
use crate::types::EndpointId;
use crate::types::TokenCount;

/// Tokens in one block of a prompt.
pub const BLOCK_TOKENS: TokenCount = 256;

/// Uses remembered at most for each block that is kept, on average.
const USES_PER_BLOCK: usize = 4;

/// Endpoints remembered for one block.
const MAX_HOLDERS: usize = 4;

/// Says how an endpoint is known to hold a block.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum HoldingSource {
    /// The engine reported it, late.
    Reported,
    /// A request with the block was sent there.
    Granted,
}

#[derive(Clone, Debug, Default)]
struct BlockEntry {
    last_used: u64,
    holders: Vec<(EndpointId, HoldingSource)>,
}

/// Remembers, for a bounded number of prompt blocks, which endpoints are likely to hold them.
///
/// Only blocks at depths that are powers of two are looked up and learnt from grants, so that the
/// cost grows with the logarithm of the prompt; a wrong guess costs one prompt's processing.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    capacity: usize,
    use_counter: u64,
    blocks: HashMap<u64, BlockEntry>,
    /// Uses of blocks, oldest first; only a block's newest use counts.
    use_order: VecDeque<(u64, u64)>,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }
}

// Commands.
impl PrefixIndex {
    /// Notes that a request whose prompt starts with `blocks` was sent to an endpoint.
    pub fn record_grant(&mut self, blocks: &[u64], endpoint: &EndpointId) {
        for depth in sampled_depths(blocks.len()) {
            self.record_use(blocks[depth - 1], endpoint, HoldingSource::Granted);
        }
    }

    /// Notes an engine's own report on a block.
    pub fn record_report(&mut self, block: u64, endpoint: &EndpointId, change: CacheChange) {
        match change {
            CacheChange::Stored => self.record_use(block, endpoint, HoldingSource::Reported),
            CacheChange::Evicted => self.remove_holder(block, endpoint),
        }
    }

    /// Forgets everything that an endpoint held.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        for entry in self.blocks.values_mut() {
            entry.holders.retain(|(holder, _)| holder != endpoint);
        }
    }

    fn record_use(&mut self, block: u64, endpoint: &EndpointId, source: HoldingSource) {
        if self.capacity == 0 {
            return;
        }
        self.use_counter += 1;
        let use_counter = self.use_counter;
        let entry = self.blocks.entry(block).or_default();
        entry.last_used = use_counter;
        entry.add_holder(endpoint, source);
        self.use_order.push_back((use_counter, block));
        while self.blocks.len() > self.capacity
            || self.use_order.len() > self.capacity * USES_PER_BLOCK
        {
            self.evict_oldest();
        }
    }

    fn remove_holder(&mut self, block: u64, endpoint: &EndpointId) {
        let Some(entry) = self.blocks.get_mut(&block) else {
            return;
        };
        entry.holders.retain(|(holder, _)| holder != endpoint);
        if entry.holders.is_empty() {
            self.blocks.remove(&block);
        }
    }

    fn evict_oldest(&mut self) {
        let Some((last_used, block)) = self.use_order.pop_front() else {
            return;
        };
        if self.blocks.get(&block).is_some_and(|entry| entry.last_used == last_used) {
            self.blocks.remove(&block);
        }
    }
}

// Queries.
impl PrefixIndex {
    /// Returns for each endpoint that is likely to hold a prefix of `blocks` its length in tokens,
    /// longest first.
    pub fn cached_tokens(&self, blocks: &[u64]) -> Vec<(EndpointId, TokenCount)> {
        let mut found: Vec<(EndpointId, TokenCount)> = Vec::new();
        for depth in sampled_depths(blocks.len()).rev() {
            let Some(entry) = self.blocks.get(&blocks[depth - 1]) else {
                continue;
            };
            for (endpoint, _) in entry.holders.iter().rev() {
                if !found.iter().any(|(holder, _)| holder == endpoint) {
                    found.push((endpoint.clone(), depth as TokenCount * BLOCK_TOKENS));
                }
            }
        }
        found
    }

    /// Returns the number of blocks remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}

impl BlockEntry {
    /// Adds a holder; a report never displaces what a grant has shown.
    fn add_holder(&mut self, endpoint: &EndpointId, source: HoldingSource) {
        let known = self.holders.iter().position(|(holder, _)| holder == endpoint);
        let source = known.map_or(source, |index| self.holders.remove(index).1.max(source));
        if self.holders.len() == MAX_HOLDERS {
            let weakest = self.holders.iter().position(|(_, held)| *held <= source);
            match weakest {
                Some(index) => drop(self.holders.remove(index)),
                None => return,
            }
        }
        self.holders.push((endpoint.clone(), source));
        self.holders.sort_by_key(|(_, held)| *held);
    }
}

/// Returns the depths, in blocks, that are looked at in a prompt of `count` blocks.
fn sampled_depths(count: usize) -> impl DoubleEndedIterator<Item = usize> {
    let powers = (0..usize::BITS).map(|bit| 1_usize << bit).filter(move |depth| *depth < count);
    powers.chain((count > 0).then_some(count))
}

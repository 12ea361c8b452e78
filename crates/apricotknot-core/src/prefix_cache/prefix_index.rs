//! Bounded index from prompt blocks to the endpoints that hold them.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::admission::CacheChange;
use crate::types::EndpointId;
use crate::types::TokenCount;

/// Tokens in one prompt block.
pub const BLOCK_TOKENS: TokenCount = 256;

/// Maximum length of the use order, in uses per block of the capacity.
const USES_PER_BLOCK: usize = 4;

/// Maximum endpoints that are kept for one block.
const MAX_HOLDERS: usize = 4;

/// Source of the information that an endpoint holds a block; a later variant is more reliable.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum HoldingSource {
    /// The engine reported the block, with a delay.
    Reported,
    /// A request with the block was sent to the endpoint.
    Granted,
}

#[derive(Clone, Debug, Default)]
struct BlockEntry {
    last_used: u64,
    holders: Vec<(EndpointId, HoldingSource)>,
}

/// Index of the endpoints that are likely to hold each of a bounded number of prompt blocks.
///
/// Grants record, and lookups check, only the last block of a prompt and the blocks at depths that
/// are powers of two. So the cost is logarithmic in the length of the prompt. A wrong result costs
/// the prefill of one prompt.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    capacity: usize,
    use_counter: u64,
    blocks: HashMap<u64, BlockEntry>,
    /// Uses of blocks, oldest first, as pairs of use counter and block.
    ///
    /// Only the last use of a block decides when it is evicted.
    use_order: VecDeque<(u64, u64)>,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` blocks; with zero, it records nothing.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }
}

// Methods that change the index.
impl PrefixIndex {
    /// Records that a request whose prompt starts with `blocks` was sent to an endpoint.
    pub fn record_grant(&mut self, blocks: &[u64], endpoint: &EndpointId) {
        for depth in sampled_depths(blocks.len()) {
            self.record_use(blocks[depth - 1], endpoint, HoldingSource::Granted);
        }
    }

    /// Records a change of a block that the engine of an endpoint reported.
    pub fn record_report(&mut self, block: u64, endpoint: &EndpointId, change: CacheChange) {
        match change {
            CacheChange::Stored => self.record_use(block, endpoint, HoldingSource::Reported),
            CacheChange::Evicted => self.remove_holder(block, endpoint),
        }
    }

    /// Removes an endpoint from all blocks.
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

    /// Drops the oldest use, and its block if the block was not used since.
    fn evict_oldest(&mut self) {
        let Some((last_used, block)) = self.use_order.pop_front() else {
            return;
        };
        if self.blocks.get(&block).is_some_and(|entry| entry.last_used == last_used) {
            self.blocks.remove(&block);
        }
    }
}

// Methods that only read the index.
impl PrefixIndex {
    /// Returns the endpoints that are likely to hold a prefix of `blocks`, each with the length of
    /// its longest prefix in tokens, longest first.
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

    /// Returns the number of blocks in the index.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the index has no blocks.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}

impl BlockEntry {
    /// Adds a holder, and drops a less or equally reliable one if the block has too many.
    ///
    /// A report never displaces a holder that a grant recorded.
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

/// Returns the depths, in blocks, at which a prompt of `count` blocks is recorded and looked up.
fn sampled_depths(count: usize) -> impl DoubleEndedIterator<Item = usize> {
    let powers = (0..usize::BITS).map(|bit| 1_usize << bit).filter(move |depth| *depth < count);
    powers.chain((count > 0).then_some(count))
}

//! Tracks which endpoints hold which prompt prefixes in their prefix caches.

mod prefix_index;

pub use prefix_index::BLOCK_TOKENS;
pub use prefix_index::PrefixIndex;

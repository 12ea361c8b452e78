//! Remembers which endpoint holds the start of which prompt in its prefix cache.

mod prefix_index;

pub use prefix_index::BLOCK_TOKENS;
pub use prefix_index::PrefixIndex;

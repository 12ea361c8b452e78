//! Largest messages and lists that are read.

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Longest resource, in bytes of JSON.
pub const MAX_BODY_BYTES: usize = 1_048_576;

/// Most news of members in one probe message.
pub const MAX_PROBE_UPDATES: usize = 32;

/// Most drain orders in one probe message.
pub const MAX_PROBE_NOTICES: usize = 32;

/// Most replies to one probe message.
pub const MAX_PROBE_REPLIES: usize = 4;

/// Longest coverage, in bytes of one bit for each listed member.
pub const MAX_COVERAGE_BYTES: usize = 1_024;

/// Most members in a snapshot, and most drain orders.
pub const MAX_SNAPSHOT_ITEMS: usize = 8_192;

/// Most records in one batch of configuration.
pub const MAX_BATCH_RECORDS: usize = 4_096;

/// Most digests of prompt blocks in one request for a grant.
pub const MAX_PREFIX_BLOCKS: usize = 16_384;

/// Most endpoints that one request for a grant excludes.
pub const MAX_EXCLUDED_ENDPOINTS: usize = 64;

/// Most parts that one grant is charged to.
pub const MAX_CHARGES: usize = 256;

/// Most reports in one call.
pub const MAX_REPORTS: usize = 4_096;

/// Most messages about budget shares in one call.
pub const MAX_SHARE_MESSAGES: usize = 4_096;

/// Largest message, in words of eight bytes.
pub const MAX_MESSAGE_WORDS: usize = 524_288;

//! Limits on the messages, lists and texts that are read from peers.

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Maximum size of a resource, in bytes of JSON.
pub const MAX_BODY_BYTES: usize = 1_048_576;

/// Maximum number of member updates in a probe message.
pub const MAX_PROBE_UPDATES: usize = 32;

/// Maximum number of drain notices in a probe message.
pub const MAX_PROBE_NOTICES: usize = 32;

/// Maximum number of replies to a probe message.
pub const MAX_PROBE_REPLIES: usize = 4;

/// Maximum size of a coverage bitmap, in bytes; it has one bit for each listed member.
pub const MAX_COVERAGE_BYTES: usize = 1_024;

/// Maximum number of members in a snapshot, and of drain notices.
pub const MAX_SNAPSHOT_ITEMS: usize = 8_192;

/// Maximum number of records in a configuration batch.
pub const MAX_BATCH_RECORDS: usize = 4_096;

/// Maximum number of digests of prompt blocks in a request for a grant.
pub const MAX_PREFIX_BLOCKS: usize = 16_384;

/// Maximum number of endpoints that a request for a grant excludes.
pub const MAX_EXCLUDED_ENDPOINTS: usize = 64;

/// Maximum number of budget shares that a grant is charged to.
pub const MAX_CHARGES: usize = 256;

/// Maximum number of reports in a call.
pub const MAX_REPORTS: usize = 4_096;

/// Maximum number of messages about budget shares in a call.
pub const MAX_SHARE_MESSAGES: usize = 4_096;

/// Maximum size of a message, in words of eight bytes.
pub const MAX_MESSAGE_WORDS: usize = 524_288;

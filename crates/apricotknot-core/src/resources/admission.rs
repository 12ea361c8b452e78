//! Settings of admission control.

use serde::Deserialize;
use serde::Serialize;

use crate::types::TokenCount;

/// Holds the settings of admission control for the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSpec {
    /// Number of answer tokens that is assumed if a caller sets no limit.
    pub default_max_tokens: TokenCount,
    /// Maximum time that a request waits in a queue, in milliseconds.
    pub queue_timeout_ms: u64,
    /// Maximum time from the arrival of a request to the end of its answer, in milliseconds.
    pub request_timeout_ms: u64,
    /// Maximum number of requests that are queued for one service.
    pub max_queued: u32,
    /// Share of the memory of each engine that is reserved for short prompts, in per mille.
    pub short_reserve_permille: u32,
    /// Maximum number of archive prompts that one engine runs concurrently.
    pub max_archives_per_engine: u32,
}

impl Default for AdmissionSpec {
    fn default() -> Self {
        Self {
            default_max_tokens: 1_024,
            queue_timeout_ms: 30_000,
            request_timeout_ms: 600_000,
            max_queued: 10_000,
            short_reserve_permille: 150,
            max_archives_per_engine: 1,
        }
    }
}

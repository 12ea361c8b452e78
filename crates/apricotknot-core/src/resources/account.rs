//! Client accounts.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Describes a client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AccountSpec {
    /// Weight in the fair division of a contended service among accounts, 1 to 1,000.
    pub weight: u32,
    /// Maximum number of requests that are in progress or queued at the same time.
    pub max_concurrent: u32,
    /// Maximum tokens per second, prompts and answers together; 0 means no limit.
    pub tokens_per_second: u64,
    /// SHA-256 digests of the keys that callers send, in lower-case hexadecimal.
    pub key_digests: Vec<Arc<str>>,
}

impl Default for AccountSpec {
    fn default() -> Self {
        Self { weight: 1, max_concurrent: 1_000, tokens_per_second: 0, key_digests: Vec::new() }
    }
}

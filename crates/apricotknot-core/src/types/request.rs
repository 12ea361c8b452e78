//! Properties of a request that scheduling depends on.

use super::AccountId;
use super::LengthClass;
use super::MonotonicTime;
use super::RequestId;
use super::ServiceId;
use super::TokenCount;

/// Digest that is equal for equal prompts of one service.
pub type PromptFingerprint = u64;

/// Describes a request for scheduling: its account, its service, its size and its deadline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestProfile {
    /// Identifies the request.
    pub id: RequestId,
    /// Account to which the request is charged.
    pub account: AccountId,
    /// Service that runs the request.
    pub service: ServiceId,
    /// Estimated prompt length, in tokens.
    pub prompt_tokens: TokenCount,
    /// Maximum length of the answer, in tokens.
    pub max_output_tokens: TokenCount,
    /// Digest of the whole prompt, by which a request that is sent again is recognised.
    pub fingerprint: PromptFingerprint,
    /// Digests of the prompt's prefixes of whole blocks, shortest first, for prefix-cache affinity.
    pub prefix_blocks: Vec<u64>,
    /// Time by which the request must have ended.
    pub deadline: MonotonicTime,
}

impl RequestProfile {
    /// Returns the maximum key-value cache that the request may occupy, in tokens.
    pub fn memory_tokens(&self) -> TokenCount {
        self.prompt_tokens.saturating_add(self.max_output_tokens)
    }

    /// Returns the length class of the prompt.
    pub fn length_class(&self) -> LengthClass {
        LengthClass::of(self.prompt_tokens)
    }
}

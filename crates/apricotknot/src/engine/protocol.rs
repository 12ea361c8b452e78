//! What the node asks of an engine.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::types::AttemptId;
use apricotknot_core::types::BootId;
use apricotknot_core::types::FencingNumber;
use apricotknot_core::types::TokenCount;
use bytes::Bytes;
use serde::Deserialize;

use super::EngineError;

/// Selects the call that carries a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallPath {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completions,
}

impl CallPath {
    /// Returns the path of the call.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }
}

/// Describes one attempt to be run by an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptRequest {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Call that carries the prompt.
    pub path: CallPath,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Priority, 0 first to 9 last.
    pub priority: u8,
    /// Fencing number of the grant.
    pub fencing_number: FencingNumber,
    /// Longest time until the answer begins.
    pub head_timeout: Duration,
}

/// Holds the head of an engine's answer, and its body to be read.
#[derive(Debug)]
pub struct EngineAnswer<B> {
    /// Attempt that the engine says it answers; none where it does not say.
    pub echoed: Option<AttemptId>,
    /// Run of the engine that answers.
    pub boot: Option<BootId>,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Body that has not been read.
    pub body: B,
}

/// Holds one whole event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Bytes to forward, with the empty line that ends the event.
    pub bytes: Bytes,
    /// Number that the engine gave the event.
    pub index: Option<u64>,
    /// Whether this is the mark that ends the stream.
    pub is_end: bool,
    /// Tokens that the engine says it generated, where the event tells.
    pub completion_tokens: Option<TokenCount>,
}

/// Says what became of a cancelled attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum CancelState {
    /// It was stopped, and its memory is free.
    Cancelled,
    /// It had finished before.
    Finished,
    /// The engine does not know it, so it holds no memory for it.
    Unknown,
}

/// Holds what an engine reports of its load; the report lags.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct LoadReport {
    /// Run of the engine.
    pub boot_id: BootId,
    /// Whether the engine calls itself cold.
    #[serde(default)]
    pub cold: bool,
    /// Key-value cache in all, in tokens.
    pub memory_total: TokenCount,
    /// Key-value cache in use, in tokens.
    pub memory_used: TokenCount,
    /// Requests under way.
    pub running: u32,
    /// Requests that wait in the engine.
    pub waiting: u32,
}

/// Says what became of a block of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum BlockChange {
    /// It was evicted.
    Evicted,
    /// It was stored.
    Stored,
}

/// Holds one event of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct CacheEvent {
    /// Number of the event; numbers may be missing.
    pub seq: u64,
    /// What became of the block.
    pub kind: BlockChange,
    /// Digest of the block, in hexadecimal.
    pub block: Arc<str>,
}

/// Holds events of an engine's prefix cache; they are late and may have gaps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct CacheEvents {
    /// Run of the engine.
    pub boot_id: BootId,
    /// Events in the order of their numbers.
    pub events: Vec<CacheEvent>,
}

/// Speaks with engines.
pub trait EngineClient: Clone + 'static {
    /// Body of a whole answer or of a stream.
    type Body: futures::Stream<Item = Result<Bytes, EngineError>> + Unpin + 'static;

    /// Sends an attempt and waits for the head of its answer.
    fn start(
        &self,
        request: AttemptRequest,
    ) -> impl Future<Output = Result<EngineAnswer<Self::Body>, EngineError>>;

    /// Continues the stream of an attempt at event `first_index`.
    fn resume(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        first_index: u64,
    ) -> impl Future<Output = Result<EngineAnswer<Self::Body>, EngineError>>;

    /// Stops an attempt and waits until its memory is free.
    fn cancel(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<CancelState, EngineError>>;

    /// Reads the events of the engine's prefix cache after number `after`.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<CacheEvents, EngineError>>;

    /// Reads the engine's load.
    fn load(&self, address: SocketAddr) -> impl Future<Output = Result<LoadReport, EngineError>>;
}

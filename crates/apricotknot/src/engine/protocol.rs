//! Calls that a node makes to an engine, and their messages.

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

/// Selects the call of the OpenAI interface that sends a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallPath {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completions,
}

impl CallPath {
    /// Returns the HTTP path of the call.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }
}

/// Describes one attempt that an engine is to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptRequest {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Call that sends the prompt.
    pub path: CallPath,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Priority from 0, which runs first, to 9.
    pub priority: u8,
    /// Fencing number of the grant that allows the attempt.
    pub fencing_number: FencingNumber,
    /// Longest time until the head of the answer arrives.
    pub head_timeout: Duration,
}

/// Holds the head of an engine's answer and its unread body.
#[derive(Debug)]
pub struct EngineAnswer<B> {
    /// Attempt id that the engine echoes; none if it sends none.
    pub echoed: Option<AttemptId>,
    /// Boot id of the engine that answers, if it sends one.
    pub boot: Option<BootId>,
    /// Media type of the body, if the engine sends one.
    pub content_type: Option<String>,
    /// Body of the answer, not read yet.
    pub body: B,
}

/// Holds one complete event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Bytes to forward, including the empty line that ends the event.
    pub bytes: Bytes,
    /// Number that the engine assigned to the event, if any.
    pub index: Option<u64>,
    /// Whether this event marks the end of the stream.
    pub is_end: bool,
    /// Number of generated tokens, if the event reports it.
    pub completion_tokens: Option<TokenCount>,
}

/// State of an attempt after a request to cancel it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum CancelState {
    /// The attempt was stopped and its memory freed.
    Cancelled,
    /// The attempt had already finished.
    Finished,
    /// The engine does not know the attempt, so it holds no memory for it.
    Unknown,
}

/// Holds the load that an engine reports; the values lag behind its actual load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct LoadReport {
    /// Boot id of the engine.
    pub boot_id: BootId,
    /// Whether the engine reports that it is cold.
    #[serde(default)]
    pub cold: bool,
    /// Size of the key-value cache, in tokens.
    pub memory_total: TokenCount,
    /// Used part of the key-value cache, in tokens.
    pub memory_used: TokenCount,
    /// Requests in progress.
    pub running: u32,
    /// Requests in the engine's own queue.
    pub waiting: u32,
}

/// Change of a block in an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum BlockChange {
    /// The block was evicted.
    Evicted,
    /// The block was stored.
    Stored,
}

/// Holds one event of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct CacheEvent {
    /// Sequence number of the event; numbers may be missing.
    pub seq: u64,
    /// Change of the block.
    pub kind: BlockChange,
    /// Digest of the block, in hexadecimal.
    pub block: Arc<str>,
}

/// Holds events of an engine's prefix cache; they arrive late and may have gaps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct CacheEvents {
    /// Boot id of the engine.
    pub boot_id: BootId,
    /// Events in the order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

/// Calls engines; implemented once for each protocol that engines speak.
pub trait EngineClient: Clone + 'static {
    /// Unread body of an answer, streamed or not.
    type Body: futures::Stream<Item = Result<Bytes, EngineError>> + Unpin + 'static;

    /// Sends an attempt and waits for the head of its answer.
    fn start(
        &self,
        request: AttemptRequest,
    ) -> impl Future<Output = Result<EngineAnswer<Self::Body>, EngineError>>;

    /// Continues the stream of an attempt from event `first_index` on.
    fn resume(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        first_index: u64,
    ) -> impl Future<Output = Result<EngineAnswer<Self::Body>, EngineError>>;

    /// Cancels an attempt and waits until the engine has freed its memory.
    fn cancel(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<CancelState, EngineError>>;

    /// Reads the events of the engine's prefix cache that follow sequence number `after`.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<CacheEvents, EngineError>>;

    /// Reads the load that the engine reports.
    fn load(&self, address: SocketAddr) -> impl Future<Output = Result<LoadReport, EngineError>>;
}

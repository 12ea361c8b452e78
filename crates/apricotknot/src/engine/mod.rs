//! Interface between a node and the engines: the client trait, its HTTP implementation, and the
//! messages.

mod adapter;
mod error;
mod protocol;
mod sliced_body;
mod sse;

pub use adapter::HttpEngineClient;
pub use error::EngineError;
pub use error::EngineErrorKind;
pub use protocol::AttemptRequest;
pub use protocol::BlockChange;
pub use protocol::CacheEvent;
pub use protocol::CacheEvents;
pub use protocol::CallPath;
pub use protocol::CancelState;
pub use protocol::EngineAnswer;
pub use protocol::EngineClient;
pub use protocol::LoadReport;
pub use protocol::StreamEvent;
pub use sse::SseSplitter;
pub use sse::find_completion_tokens;

//! Stand-in for a model engine: continuous batching over limited key-value cache memory.

mod answer;
mod api;
mod digest;
mod faults;
mod log;
mod prefix;
mod sequence;
mod server;
mod settings;
mod state;
mod stats;

pub use answer::AnswerError;
pub use answer::verify_answer;
pub use digest::block_digests;
pub use digest::prompt_digest;
pub use server::EngineServer;
pub use settings::EngineSettings;
pub use settings::FencingMode;

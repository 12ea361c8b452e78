//! The OpenAI-compatible HTTP interface.

mod content;
mod envelope;
mod models;

pub use envelope::PromptEnvelope;
pub use models::render_models;

//! Stand-in for a plain service that records each execution.

mod server;
mod settings;

pub use server::PlainServer;
pub use settings::PlainSettings;

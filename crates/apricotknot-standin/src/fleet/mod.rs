//! A fleet of processes for tests: nodes and stand-ins, their settings and resources, and a client.

mod client;
mod error;
mod harness;
mod ports;
mod process;
mod programs;
mod resources;
mod settings;
mod stream;

pub use client::FleetAnswer;
pub use client::FleetClient;
pub use error::FleetError;
pub use harness::FleetHarness;
pub use harness::FleetNode;
pub use harness::FleetStandin;
pub use harness::chat_body;
pub use harness::eventually;
pub use process::ChildProcess;
pub use process::ProcessSignal;
pub use programs::build_profile_dir;
pub use resources::account_resource;
pub use settings::EnginePlan;
pub use settings::FleetSettings;
pub use stream::AnswerStream;
pub use stream::StreamSummary;

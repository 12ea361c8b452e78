//! A node of the apricotknot serving layer.
//!
//! A node receives callers' prompts, schedules them on endpoints, and streams the answers back.
//! All nodes are equal, and none holds state that must outlive its process.
//!
//! Start a node with [`NodeProcess::start`] from [`NodeSettings`]; see `examples/quickstart.rs`.
//! See [`front`] for the path of a request and [`control`] for the decisions about it.

pub mod control;
pub mod engine;
pub mod front;
pub mod node;
pub mod operators;
pub mod peers;
pub mod plain;
pub mod settings;
pub mod store;
pub mod telemetry;
pub mod transport;

pub use node::NodeError;
pub use node::NodeProcess;
pub use settings::NodeSettings;
pub use settings::SettingsError;

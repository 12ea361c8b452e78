//! Process of a node: its threads, from start to planned shutdown.

mod error;
mod guarded_server;
mod guarded_stream;
mod process;
mod request_boundary;
mod server;

pub use error::NodeError;
pub use process::NodeProcess;

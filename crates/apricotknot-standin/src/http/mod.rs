//! HTTP server for stand-ins: it runs on one thread and can close its connections at any time.

mod call;
mod control;
mod error;
mod reply;
mod server;

pub(crate) use call::HttpCall;
pub(crate) use control::ServerCommand;
pub(crate) use control::ServerControl;
pub(crate) use reply::HttpReply;
pub(crate) use server::HttpHandler;

pub use error::StandinError;
pub use server::StandinServer;

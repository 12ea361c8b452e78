//! HTTP server that a stand-in runs on: one thread, with connections that can be cut at will.

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

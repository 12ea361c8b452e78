//! Calls between nodes, and the service that runs membership.
//!
//! [`PeerService`] runs on the control thread, inside an actix system. It listens for peers, keeps
//! connections to them, ticks the [`ClusterState`] and executes the actions that concern peers. All
//! other actions of the state, and calls of peers about grants, go to a [`PeerHandler`].
//!
//! # Usage
//!
//! 1. Implement [`PeerHandler`]. [`PeerHandler::handle_action`] gets configuration to apply,
//!    drains, changes of members and owners, and calls to make to the key-value service.
//! 2. Start the service with [`PeerOptions`] and the handler.
//! 3. Pass answers of the key-value service back with [`PeerService::command`], for example
//!    `service.command(|cluster, now| cluster.list_read(&stored, now))`.
//! 4. Read with [`PeerService::query`] who owns a pool, whether this node may act, and which
//!    configuration each member has in force. Request grants from owners with
//!    [`PeerService::request_grant`].
//!
//! The handler is never called while the state is borrowed, so it may call the service directly.

mod client;
mod configuration;
mod connection;
mod counters;
mod error;
mod handler;
mod options;
mod server;
mod service;
mod session;
mod shared;

pub use apricotknot_core::membership::ClusterAction;
pub use apricotknot_core::membership::ClusterState;
pub use apricotknot_wire::auth::KeyRing;
pub use apricotknot_wire::auth::PeerIdentity;
pub use apricotknot_wire::auth::SharedKey;
pub use configuration::batch_of;
pub use configuration::records_of;
pub use configuration::updates_of;
pub use counters::PeerCounters;
pub use error::PeerError;
pub use error::PeerErrorKind;
pub use handler::PeerHandler;
pub use options::PeerOptions;
pub use service::PeerService;

//! Calls between nodes, and the driver of membership.
//!
//! [`PeerService`] runs on the control thread, inside an actix system. It listens for peers, keeps
//! connections to them, ticks the [`ClusterState`] and performs what concerns peers. Everything else
//! that the state asks for, and the calls of peers about grants, go to a [`PeerHandler`].
//!
//! # Driving it
//!
//! 1. Implement [`PeerHandler`]. [`PeerHandler::handle_action`] gets configuration to put in force, drains,
//!    changes of members and owners, and calls for the key-value service.
//! 2. Start the service with [`PeerOptions`] and the handler.
//! 3. Give answers of the key-value service back by [`PeerService::command`], for example
//!    `service.command(|cluster, now| cluster.list_read(&stored, now))`.
//! 4. Ask by [`PeerService::query`] who owns a pool, whether this node may act, and what is in force
//!    where; ask owners by [`PeerService::request_grant`].
//!
//! The handler is never called while the state is borrowed, so it may use the service at once.

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

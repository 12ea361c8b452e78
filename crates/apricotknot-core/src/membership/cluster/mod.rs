//! Combines membership, configuration, drain notices and the member list of one node.

mod cluster_action;
mod cluster_state;
mod queries;
mod store;
mod sync;

pub use cluster_action::ClusterAction;
pub use cluster_state::ClusterState;

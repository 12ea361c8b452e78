//! Failure detection and gossip: probes a few members and exchanges updates with them.

mod action;
mod entry;
mod member_table;
mod own_status;
mod probe;
mod receive;

pub use action::MemberAction;
pub use action::PeerTarget;
pub use member_table::MemberTable;
pub use own_status::OwnStatus;

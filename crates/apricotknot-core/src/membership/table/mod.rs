//! Which members are there, by probing a few of them and passing on news.

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

//! The member list in the key-value service, and the lease of each node.

mod epoch_keeper;
mod lease_keeper;
mod member_list;

pub use epoch_keeper::EpochAction;
pub use epoch_keeper::EpochKeeper;
pub use epoch_keeper::StoredList;
pub use lease_keeper::LeaseAction;
pub use lease_keeper::LeaseKeeper;
pub use member_list::MemberList;

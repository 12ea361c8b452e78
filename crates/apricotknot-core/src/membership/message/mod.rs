//! Messages that nodes exchange about members, configuration and drains.

mod configuration;
mod drain;
mod member;
mod probe;

pub use configuration::ConfigurationBatch;
pub use configuration::ConfigurationRecord;
pub use drain::DrainNotice;
pub use drain::DrainSubject;
pub use member::ListedMember;
pub use member::MemberSnapshot;
pub use member::MemberState;
pub use member::MemberUpdate;
pub use member::PeerAddress;
pub use probe::NodeSummary;
pub use probe::ProbeKind;
pub use probe::ProbeMessage;

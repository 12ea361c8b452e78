//! Tracks which nodes are live, which node owns each pool, and which configuration is in force.
//!
//! Failure detection follows SWIM: periodic and indirect probes, suspicion and refutation. Updates,
//! drain notices and summaries are piggybacked on the probes.

mod cluster;
mod configuration;
mod drain_table;
mod epoch;
mod hash;
mod message;
mod owner_map;
mod probe_ring;
mod settings;
mod table;
mod update_queue;

pub use cluster::ClusterAction;
pub use cluster::ClusterState;
pub use configuration::ConfigAction;
pub use configuration::ConfigReplicator;
pub use configuration::ConfigTable;
pub use configuration::CoverageMap;
pub use configuration::CoverageReport;
pub use configuration::StaleBatch;
pub use drain_table::DrainTable;
pub use epoch::EpochAction;
pub use epoch::EpochKeeper;
pub use epoch::LeaseAction;
pub use epoch::LeaseKeeper;
pub use epoch::MemberList;
pub use epoch::StoredList;
pub use message::ConfigurationBatch;
pub use message::ConfigurationRecord;
pub use message::DrainNotice;
pub use message::DrainSubject;
pub use message::ListedMember;
pub use message::MemberSnapshot;
pub use message::MemberState;
pub use message::MemberUpdate;
pub use message::NodeSummary;
pub use message::PeerAddress;
pub use message::ProbeKind;
pub use message::ProbeMessage;
pub use owner_map::OwnerMap;
pub use owner_map::next_fencing;
pub use settings::MemberSettings;
pub use table::MemberAction;
pub use table::MemberTable;
pub use table::OwnStatus;
pub use table::PeerTarget;

pub use hash::hash_text;

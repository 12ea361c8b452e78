//! Replication of the configuration between nodes, and the members on which it is in force.

mod config_replicator;
mod config_table;
mod coverage;

pub use config_replicator::ConfigAction;
pub use config_replicator::ConfigReplicator;
pub use config_table::ConfigTable;
pub use config_table::StaleBatch;
pub use coverage::CoverageMap;
pub use coverage::CoverageReport;

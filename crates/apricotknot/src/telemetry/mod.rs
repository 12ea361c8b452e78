//! Log and metrics of a node.

mod log;
mod metrics;

pub use log::LogGuard;
pub use log::build_guarded_logger;
pub use log::build_logger;
pub use metrics::ClassLabels;
pub use metrics::LedgerLabels;
pub use metrics::NodeMetrics;
pub use metrics::RequestLabels;

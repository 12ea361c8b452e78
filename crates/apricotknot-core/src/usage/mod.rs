//! Counts of the requests that began to run, by account and window of time.
//!
//! Each node counts the requests that it forwards ([`UsageCounter`]), and sends its counts to the
//! nodes that report usage or may have to soon. Those merge the counts of all nodes
//! ([`CountTable`]) and decide when a window is complete ([`WindowCloser`]). [`ReportHistory`] makes
//! sure that a window has one report only, and [`FleetClock`] estimates the time by which windows
//! begin and end. [`UsageAccounting`] holds all of these for one node.

mod count_schedule;
mod count_snapshot;
mod count_table;
mod fleet_clock;
mod report_history;
mod usage_accounting;
mod usage_counter;
mod usage_report;
mod usage_windows;
mod window_closer;

pub use count_schedule::CountSchedule;
pub use count_snapshot::CountSnapshot;
pub use count_snapshot::WindowCounts;
pub use count_table::CountTable;
pub use fleet_clock::FleetClock;
pub use report_history::ConflictingReport;
pub use report_history::ReportHistory;
pub use usage_accounting::ClosedWindow;
pub use usage_accounting::UsageAccounting;
pub use usage_counter::UsageCounter;
pub use usage_report::UsageReport;
pub use usage_windows::UsageWindows;
pub use window_closer::ClosingReason;
pub use window_closer::WindowCloser;

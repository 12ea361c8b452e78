//! Counts of the requests that began to run, by account and window of time.

mod usage_report;

pub use usage_report::UsageReport;

//! What a node knows of the last windows, for operators.

use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::WindowNumber;
use apricotknot_core::usage::UsageAccounting;
use serde::Serialize;

use crate::clock::millis;

/// Describes the decided report on one window.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct WindowStatus {
    /// Number of the window.
    pub window: WindowNumber,
    /// Number of requests in the report.
    pub requests: u64,
    /// Number of accounts in the report.
    pub accounts: usize,
    /// Time since the window ended, in milliseconds.
    pub age_ms: u64,
}

/// Describes the usage accounting of a node.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct UsageStatus {
    /// Nodes that receive the counts of this one.
    pub recipients: Vec<NodeId>,
    /// Number of nodes whose clocks this one has read lately.
    pub clocks: usize,
    /// Requests that became known after the report on their window.
    pub late_requests: u64,
    /// Last windows with a decided report, in order.
    pub windows: Vec<WindowStatus>,
}

impl UsageStatus {
    /// Creates the description of `usage` at `now`.
    pub fn new(usage: &UsageAccounting, now: MonotonicTime) -> Self {
        let windows = usage.reports().map(|report| WindowStatus {
            window: report.window,
            requests: report.request_count(),
            accounts: report.counts.len(),
            age_ms: millis(usage.window_age(report.window, now)),
        });
        Self {
            recipients: usage.recipients().to_vec(),
            clocks: usage.clock_count(),
            late_requests: usage.late_count(),
            windows: windows.collect(),
        }
    }
}

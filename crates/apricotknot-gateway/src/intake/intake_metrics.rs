//! Counters of clients that were refused or had to give way.

use prometheus_client::metrics::counter::Counter;

/// Counts what the clients of all interfaces of a node were refused; clones share their counts.
#[derive(Clone, Debug, Default)]
pub struct IntakeMetrics {
    /// Connections that were closed because they held room or memory without getting on.
    pub gave_way: Counter,
    /// Requests that were refused because there was no memory for them.
    pub refused: Counter,
}

//! Settings of duties.

use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_core::duty::DutyKind;

/// Holds the settings of the duties; a node without them holds none.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// Address of the platform's API for duties.
    pub address: SocketAddr,
    /// Duties that the nodes perform.
    pub kinds: Vec<DutyKind>,
    /// Time within which no two nodes may take turns as holders.
    pub lease_time: Duration,
    /// Length of the windows for which usage is reported.
    pub usage_window: Duration,
    /// Time after the end of a window within which its report is due.
    pub usage_due: Duration,
    /// Most calls of duties per second, of all nodes together.
    pub calls_per_second: f64,
}

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
    /// Time for which a node that has acted does not act again if another one has acted since.
    pub lease_time: Duration,
    /// Length of the windows for which usage is reported.
    pub usage_window: Duration,
    /// Time after the end of a window within which its report is due.
    pub usage_due: Duration,
    /// Most calls per second that the API accepts from all nodes together.
    ///
    /// The two duties stay far below any usual limit, so the nodes do not enforce it; a call beyond it
    /// is refused, and repeated later.
    pub calls_per_second: f64,
}

//! Permission to relay one connection for another node.

use std::net::SocketAddr;

use super::ControlCommand;
use super::ControlHandle;

/// Permits one relayed connection; it counts as open until the permit is dropped.
#[derive(Debug)]
pub struct RelayPermit {
    /// Address of the endpoint.
    pub address: SocketAddr,
    control: ControlHandle,
}

impl RelayPermit {
    /// Creates the permit for a connection to `address`.
    pub(super) fn new(address: SocketAddr, control: ControlHandle) -> Self {
        Self { address, control }
    }
}

impl Drop for RelayPermit {
    fn drop(&mut self) {
        self.control.send(ControlCommand::RelayEnded);
    }
}

//! Settings of the stand-in plain service.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

/// Holds the settings of one stand-in plain service.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    pub(crate) address: SocketAddr,
    pub(crate) delay: Duration,
    pub(crate) late_by: Duration,
    pub(crate) late_every: u64,
    pub(crate) drop_every: u64,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            delay: Duration::ZERO,
            late_by: Duration::ZERO,
            late_every: 0,
            drop_every: 0,
        }
    }
}

impl PlainSettings {
    /// Sets the address to listen on; port 0 selects a free port.
    #[must_use]
    pub fn address(mut self, address: impl Into<SocketAddr>) -> Self {
        self.address = address.into();
        self
    }

    /// Sets the delay before each call is executed.
    #[must_use]
    pub fn delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Delays every `count`-th answer by `delay` after the execution; 0 for none.
    #[must_use]
    pub fn late_answers(mut self, count: u64, delay: Duration) -> Self {
        self.late_every = count;
        self.late_by = delay;
        self
    }

    /// Drops every `count`-th answer after the execution by closing the connection; 0 for none.
    #[must_use]
    pub fn drop_every(mut self, count: u64) -> Self {
        self.drop_every = count;
        self
    }
}

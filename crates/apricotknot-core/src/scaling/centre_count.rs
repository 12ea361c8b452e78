//! Endpoints of one service in one data centre.

/// Counts the endpoints of one service in one data centre by what can be expected of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CentreCount {
    /// Endpoints that take requests, cold ones included.
    pub ready: u32,
    /// Endpoints that should be back soon: unreachable ones, and those that vanished lately.
    pub returning: u32,
    /// Endpoints that are ordered and not there yet.
    pub ordered: u32,
    /// Whether operators want no new work in the data centre.
    pub is_evacuated: bool,
    /// Whether an accepted order there was not carried out in time.
    pub is_overdue: bool,
}

impl CentreCount {
    /// Returns the endpoints that are announced, or should be again soon.
    pub fn present(&self) -> u32 {
        self.ready + self.returning
    }

    /// Returns whether the data centre serves; one without any endpoint that does counts as lost.
    pub fn is_usable(&self) -> bool {
        !self.is_evacuated && self.ready > 0
    }

    /// Returns whether more endpoints can be expected from an order there.
    pub fn takes_orders(&self) -> bool {
        self.is_usable() && !self.is_overdue
    }

    /// Returns the endpoints that serve, now or as soon as one that is ordered now could.
    pub fn supply(&self) -> u32 {
        if self.is_usable() { self.present() + self.ordered } else { 0 }
    }
}

//! Settings of budget shares.

use std::time::Duration;

/// Holds the times of the sharing protocol; all nodes of a fleet must use the same values.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareSettings {
    /// Time for which a share is lent. The borrower counts it from its request and the lender from
    /// its reply, so that the loan expires first at the borrower.
    pub loan_term: Duration,
    /// Time that a lender waits in addition to the term, to allow for clocks that run at different
    /// rates.
    pub clock_margin: Duration,
    /// Remaining time of a loan at which the borrower starts to request its extension.
    pub renew_before: Duration,
    /// Longest time from a grant to the start of its attempt.
    pub start_timeout: Duration,
    /// Longest time from the start of an attempt until it has certainly ended at the endpoint.
    pub max_hold: Duration,
    /// Longest time that an endpoint holds memory for an attempt whose node has stopped.
    pub orphan_hold: Duration,
    /// Time between two repeats of an unanswered message.
    pub repeat_interval: Duration,
}

impl ShareSettings {
    /// Returns the time after the end of a loan by which all work charged to it has ended.
    pub fn drain_time(&self) -> Duration {
        self.start_timeout + self.max_hold + self.clock_margin
    }
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            loan_term: Duration::from_secs(3),
            clock_margin: Duration::from_millis(200),
            renew_before: Duration::from_secs(2),
            start_timeout: Duration::from_secs(2),
            max_hold: Duration::from_secs(630),
            orphan_hold: Duration::from_secs(10),
            repeat_interval: Duration::from_millis(250),
        }
    }
}

//! Times that bound the terms of a duty.

use std::time::Duration;

/// Shortest lease that the key-value service grants.
const MIN_TTL: Duration = Duration::from_secs(1);

/// Number of renewals within one lease.
const RENEWALS_PER_TTL: u32 = 4;

/// Part of the lease time by which a holder stops before its lease may end.
const MARGIN_DIVISOR: u32 = 10;

/// Number of lease times after which a holder that cannot reach the platform hands over.
const LEASES_TO_HANDOVER: u32 = 2;

/// Number of lease times for which a node that handed over does not compete.
const LEASES_TO_REST: u32 = 8;

/// Holds the times that bound the terms of a duty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DutyLimits {
    /// Time for which a node that has acted does not act again if another one has acted since.
    pub lease_time: Duration,
    /// Lease that the record of the holder is bound to.
    pub ttl: Duration,
    /// Time by which a node stops early, and waits longer, for clocks that run unevenly.
    pub margin: Duration,
    /// Interval between two renewals of the lease.
    pub renew_interval: Duration,
    /// Longest time of one call of the platform; later its sender waits for it no more.
    pub call_time: Duration,
    /// Time by which each candidate waits longer than the one before it.
    pub turn_step: Duration,
    /// Delay after the first failed call; it doubles with each further failure.
    pub retry_delay: Duration,
    /// Time after which a holder that cannot reach the platform hands over.
    pub handover_time: Duration,
    /// Time for which a node that handed over does not compete.
    pub rest_time: Duration,
}

impl DutyLimits {
    /// Creates the limits of duties whose holders do not take turns within `lease_time`.
    ///
    /// The lease in the key-value service is shorter, so that a lost holder is replaced soon.
    pub fn new(lease_time: Duration) -> Self {
        let ttl = (lease_time * 2 / 3).max(MIN_TTL);
        Self {
            lease_time,
            ttl,
            margin: lease_time / MARGIN_DIVISOR,
            renew_interval: ttl / RENEWALS_PER_TTL,
            call_time: Duration::from_secs(1),
            turn_step: Duration::from_millis(250),
            retry_delay: Duration::from_millis(400),
            handover_time: lease_time * LEASES_TO_HANDOVER,
            rest_time: lease_time * LEASES_TO_REST,
        }
    }
}

//! Settings of the membership protocol.

use std::time::Duration;

/// Additional time between two pulls of the whole table, for each member in it.
const SYNC_TIME_PER_MEMBER: Duration = Duration::from_millis(100);

/// Holds the intervals, timeouts and limits of the membership protocol.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSettings {
    pub(super) probe_period: Duration,
    pub(super) probe_timeout: Duration,
    pub(super) pause_limit: Duration,
    pub(super) join_timeout: Duration,
    pub(super) forget_after: Duration,
    pub(super) sync_interval: Duration,
    pub(super) probe_degree: usize,
    pub(super) indirect_probes: usize,
    pub(super) suspicion_periods: u32,
    pub(super) rejoin_rounds: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            pause_limit: Duration::from_millis(1_500),
            join_timeout: Duration::from_secs(3),
            forget_after: Duration::from_secs(3_600),
            sync_interval: Duration::from_secs(5),
            probe_degree: 8,
            indirect_probes: 3,
            suspicion_periods: 3,
            rejoin_rounds: 8,
        }
    }
}

impl MemberSettings {
    /// Sets the time between two probes.
    pub fn probe_period(mut self, period: impl Into<Duration>) -> Self {
        self.probe_period = period.into();
        self
    }

    /// Sets the time after which an unacknowledged probe is repeated through other members.
    pub fn probe_timeout(mut self, timeout: impl Into<Duration>) -> Self {
        self.probe_timeout = timeout.into();
        self
    }

    /// Sets the longest time between two ticks after which the node may still act as an owner.
    ///
    /// It must be less than the time after which the others declare an unresponsive member left.
    pub fn pause_limit(mut self, limit: impl Into<Duration>) -> Self {
        self.pause_limit = limit.into();
        self
    }

    /// Sets the time after which a node that reaches no peer acts as the first node of its fleet.
    pub fn join_timeout(mut self, timeout: impl Into<Duration>) -> Self {
        self.join_timeout = timeout.into();
        self
    }

    /// Sets the time for which the table keeps a member that left.
    pub fn forget_after(mut self, time: impl Into<Duration>) -> Self {
        self.forget_after = time.into();
        self
    }

    /// Sets the shortest time between two pulls of the whole member table in a small fleet.
    pub fn sync_interval(mut self, interval: impl Into<Duration>) -> Self {
        self.sync_interval = interval.into();
        self
    }

    /// Sets how many members this node probes, one in each period.
    pub fn probe_degree(mut self, degree: impl Into<usize>) -> Self {
        self.probe_degree = degree.into();
        self
    }

    /// Sets how many probe periods a member may stay suspected in a small fleet.
    pub fn suspicion_periods(mut self, periods: impl Into<u32>) -> Self {
        self.suspicion_periods = periods.into();
        self
    }

    /// Returns the shortest time between two pulls of the whole table of `members` members.
    ///
    /// It grows with the table, so that the bytes per second stay constant.
    pub fn sync_interval_for(&self, members: usize) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        self.sync_interval + SYNC_TIME_PER_MEMBER.saturating_mul(members)
    }

    /// Returns the time after which a suspected member counts as left, among `members` members.
    ///
    /// It grows with the logarithm of the fleet size, as does the time that a refutation needs to
    /// reach all members.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        let growth = usize::BITS - members.leading_zeros();
        self.probe_period * (self.suspicion_periods + growth / 2)
    }
}

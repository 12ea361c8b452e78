//! Kinds of duties.

/// Names one duty; each has a holder of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DutyKind {
    /// Orders the number of endpoints of each service in each data centre.
    Autoscale,
    /// Reports how many requests of each account began to run.
    UsageReport,
}

impl DutyKind {
    /// All kinds, in order.
    pub const ALL: [Self; 2] = [Self::Autoscale, Self::UsageReport];

    /// Returns the name used in settings, keys and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Autoscale => "autoscale",
            Self::UsageReport => "usage_report",
        }
    }
}

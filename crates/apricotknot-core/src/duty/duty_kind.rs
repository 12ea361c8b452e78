//! Kinds of duties.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use thiserror::Error;

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

impl fmt::Display for DutyKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl FromStr for DutyKind {
    type Err = UnknownDuty;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|kind| kind.name() == name);
        found.ok_or_else(|| UnknownDuty { name: name.into() })
    }
}

/// Reports a name that no duty has.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("duty `{name}` is unknown; allowed: autoscale, usage_report")]
pub struct UnknownDuty {
    /// Name that was given.
    pub name: Arc<str>,
}

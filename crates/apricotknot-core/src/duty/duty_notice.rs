//! Notices of a holder, for the log.

use std::time::Duration;

use crate::types::FencingNumber;

/// Why a term ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TermEnd {
    /// The lease has ended.
    Expired,
    /// The platform has seen a larger fencing number.
    Fenced,
    /// The platform could not be reached, and another node is to try.
    HandedOver,
    /// The record of the duty was replaced or removed.
    Replaced,
    /// The key-value service came back from a copy.
    Restored,
    /// The node stops.
    Withdrawn,
}

impl TermEnd {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Expired => "lease ended",
            Self::Fenced => "larger fencing number seen",
            Self::HandedOver => "platform unreachable",
            Self::Replaced => "record replaced",
            Self::Restored => "key-value service restored",
            Self::Withdrawn => "node stops",
        }
    }
}

/// Event in the life of a holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyNotice {
    /// This node has taken the duty.
    Taken {
        /// Fencing number of the term.
        fence: FencingNumber,
        /// Time until the node acts.
        acts_in: Duration,
    },
    /// The lease was renewed after the term had paused.
    Resumed {
        /// Fencing number of the term.
        fence: FencingNumber,
        /// Time for which the node could not act.
        pause: Duration,
    },
    /// The term has ended.
    Ended {
        /// Fencing number of the term.
        fence: FencingNumber,
        /// Why it ended.
        end: TermEnd,
    },
}

//! Reads the member list from the key-value service, and proposes changes to it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::membership::ListedMember;
use crate::membership::MemberList;
use crate::membership::hash::hash_text;
use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::RevisionNumber;

/// Time that a difference must last before the first proposer removes members from the list.
const REMOVAL_DELAY: Duration = Duration::from_secs(3);

/// Time that a difference must last before the first proposer adds members to the list.
const ADDITION_DELAY: Duration = Duration::from_secs(1);

/// Additional delay for each rank, so that the next node proposes only if the first does not.
const RANK_DELAY: Duration = Duration::from_secs(3);

/// Highest rank that is distinguished; later nodes share it.
const MAX_RANK: u32 = 8;

/// Time after which a call without a response counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the first retry of a failed call; doubles with each further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Largest number of doublings of the retry delay.
const MAX_DOUBLINGS: u32 = 5;

/// Time after which the list is read again while unreachable members still hold a lease.
const RECHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Requests an operation on the member list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EpochAction {
    /// Read the list, and the nodes that hold a lease, from the key-value service.
    ReadList,
    /// Write the list if the key was last written at `expected`; 0 means that it must not exist.
    WriteList {
        /// List to write.
        list: MemberList,
        /// Revision of the write that it replaces; 0 if the key must not exist.
        expected: RevisionNumber,
    },
    /// Put a list of a later epoch into use.
    Adopt {
        /// List that is known to be, or to have been, in the service.
        list: MemberList,
    },
}

/// Holds the result of reading the member list from the key-value service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredList {
    /// Stored list; none when the key does not exist.
    pub list: Option<MemberList>,
    /// Revision of the last write of the key; 0 when it does not exist.
    pub revision: RevisionNumber,
    /// Nodes that hold a valid lease in the service.
    pub leased: BTreeSet<NodeId>,
}

/// Whether a call to the service is in flight, and since when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallState {
    Idle,
    Reading { since: MonotonicTime },
    Writing { since: MonotonicTime },
}

/// Keeps the member list in the key-value service equal to the live members.
///
/// Each write follows a read. A write whose response was lost is followed by another read, so it
/// is never repeated blindly. A list is adopted only once it is known to be in the service.
///
/// A listed member that still holds a lease stays in the list even while it is unreachable.
/// Otherwise, two halves of a partitioned fleet that both reach the service would remove each
/// other in turn.
#[derive(Clone, Debug)]
pub struct EpochKeeper {
    own: NodeId,
    list: MemberList,
    live: Vec<ListedMember>,
    /// List of the write in flight.
    proposed: Option<MemberList>,
    call: CallState,
    is_read_due: bool,
    /// Time since which the list differs from the live members.
    differs_since: Option<MonotonicTime>,
    failures: u32,
    retry_at: MonotonicTime,
}

impl EpochKeeper {
    /// Creates the keeper of node `own`, which does not know a list yet.
    pub fn new(own: impl Into<NodeId>) -> Self {
        Self {
            own: own.into(),
            list: MemberList::default(),
            live: Vec::new(),
            proposed: None,
            call: CallState::Idle,
            is_read_due: true,
            differs_since: None,
            failures: 0,
            retry_at: MonotonicTime::ZERO,
        }
    }
}

impl EpochKeeper {
    /// Advances time to `now`, and reads the list when a read or a change is due.
    ///
    /// `live` holds the live members, sorted by name. `may_act` states whether this node may rely
    /// on its view of them; while it is false, no change becomes due.
    pub fn tick(
        &mut self,
        live: Vec<ListedMember>,
        may_act: bool,
        now: MonotonicTime,
    ) -> Vec<EpochAction> {
        self.check_timeout(now);
        self.live = live;
        if !may_act || self.list.members == self.live {
            self.differs_since = None;
        } else if self.differs_since.is_none() {
            self.differs_since = Some(now);
        }
        let proposal_delay = self.proposal_delay();
        let is_change_due =
            self.differs_since.is_some_and(|since| now.saturating_sub(since) >= proposal_delay);
        let is_idle = self.call == CallState::Idle && now >= self.retry_at;
        match is_idle && (self.is_read_due || is_change_due) {
            true => self.read_list(now),
            false => Vec::new(),
        }
    }

    /// Handles a read of the list, and proposes a change when one is due.
    pub fn list_read(&mut self, stored: &StoredList, now: MonotonicTime) -> Vec<EpochAction> {
        self.call = CallState::Idle;
        self.is_read_due = false;
        self.failures = 0;
        self.proposed = None;
        let mut actions = match &stored.list {
            Some(list) => self.adopt_newer(list),
            None => Vec::new(),
        };
        let proposal_delay = self.proposal_delay();
        let is_change_due =
            self.differs_since.is_some_and(|since| now.saturating_sub(since) >= proposal_delay);
        if !is_change_due {
            return actions;
        }
        let members = self.desired_members(&stored.leased);
        if members == self.list.members {
            self.retry_at = now + RECHECK_INTERVAL;
            return actions;
        }
        let list = MemberList { epoch: self.list.epoch + 1, proposer: self.own.clone(), members };
        self.proposed = Some(list.clone());
        self.call = CallState::Writing { since: now };
        actions.push(EpochAction::WriteList { list, expected: stored.revision });
        actions
    }

    /// Adopts the proposed list after the service accepted the write.
    pub fn list_written(&mut self) -> Vec<EpochAction> {
        let Some(list) = self.proposed.take() else {
            self.is_read_due = true;
            return Vec::new();
        };
        self.call = CallState::Idle;
        self.failures = 0;
        self.adopt_newer(&list)
    }

    /// Reads the list again because another write came first.
    pub fn list_conflicted(&mut self, now: MonotonicTime) -> Vec<EpochAction> {
        self.proposed = None;
        self.read_list(now)
    }

    /// Delays the next call because one failed or its response was lost; it will be a read.
    pub fn list_failed(&mut self, now: MonotonicTime) {
        let delay = FIRST_RETRY_DELAY * (1 << self.failures.min(MAX_DOUBLINGS));
        let jitter = hash_text(u64::from(self.failures), &self.own) % 500;
        self.failures += 1;
        self.retry_at = now + delay.mul_f64(0.75 + jitter as f64 / 1_000.0);
        self.call = CallState::Idle;
        self.proposed = None;
        self.is_read_due = true;
    }

    /// Adopts a list that is or was in the service, if its epoch is newer than that in use.
    pub fn adopt_newer(&mut self, list: &MemberList) -> Vec<EpochAction> {
        if list.epoch <= self.list.epoch {
            return Vec::new();
        }
        self.list = list.clone();
        // This restarts the delay, so that the node has time to contact members that are new to it.
        self.differs_since = None;
        vec![EpochAction::Adopt { list: list.clone() }]
    }

    /// Treats a call without a response as failed after [`CALL_TIMEOUT`].
    fn check_timeout(&mut self, now: MonotonicTime) {
        let since = match self.call {
            CallState::Idle => return,
            CallState::Reading { since } | CallState::Writing { since } => since,
        };
        if now.saturating_sub(since) >= CALL_TIMEOUT {
            self.list_failed(now);
        }
    }

    fn read_list(&mut self, now: MonotonicTime) -> Vec<EpochAction> {
        self.call = CallState::Reading { since: now };
        vec![EpochAction::ReadList]
    }

    /// Returns the live members and the listed members that hold a lease, sorted by name.
    fn desired_members(&self, leased: &BTreeSet<NodeId>) -> Vec<ListedMember> {
        let is_live = |node: &NodeId| self.live.iter().any(|member| member.node == *node);
        let kept = self.list.members.iter().filter(|member| leased.contains(&member.node));
        let kept = kept.filter(|member| !is_live(&member.node)).cloned();
        let mut members: Vec<_> = self.live.iter().cloned().chain(kept).collect();
        members.sort_unstable();
        members
    }

    /// Returns how long a difference must last before this node proposes a change.
    fn proposal_delay(&self) -> Duration {
        let is_addition = self.list.members.iter().all(|member| self.live.contains(member));
        let delay = if is_addition { ADDITION_DELAY } else { REMOVAL_DELAY };
        delay + RANK_DELAY * self.proposer_rank()
    }

    /// Returns how many live members propose a change before this node, at most [`MAX_RANK`].
    fn proposer_rank(&self) -> u32 {
        let own = hash_text(2, &self.own);
        let earlier = self.live.iter().filter(|member| hash_text(2, &member.node) < own).count();
        u32::try_from(earlier).unwrap_or(MAX_RANK).min(MAX_RANK)
    }
}

impl EpochKeeper {
    /// Returns the newest list known to be, or to have been, in the service.
    pub fn list(&self) -> &MemberList {
        &self.list
    }
}

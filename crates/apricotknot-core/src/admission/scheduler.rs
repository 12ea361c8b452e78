//! State machine that schedules the requests of one pool.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::BudgetAmount;
use super::DecisionRecord;
use super::GrantTicket;
use super::PoolAction;
use super::PoolEvent;
use super::PoolSettings;
use super::RequestSubmission;
use super::ShortageRecord;
use super::account::AccountTable;
use super::capacity_log::CapacityLog;
use super::capacity_log::CapacityVersion;
use super::explain::DecisionRing;
use super::grant_rate::GrantRate;
use super::queue::ArrivalNumber;
use super::queue::FairQueue;
use super::queue::VirtualTime;
use super::scheduled_endpoint::ScheduledEndpoint;
use super::timers::TimerSet;
use crate::prefix_cache::PrefixIndex;
use crate::types::AccountId;
use crate::types::AttemptId;
use crate::types::EndpointId;
use crate::types::LengthClass;
use crate::types::MonotonicTime;
use crate::types::RequestId;
use crate::types::TokenCount;

/// Holds a request that is waiting for a grant.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) submission: RequestSubmission,
    pub(super) class: LengthClass,
    pub(super) memory_tokens: TokenCount,
    pub(super) number: ArrivalNumber,
    pub(super) arrived_at: MonotonicTime,
    pub(super) latest_start: MonotonicTime,
    pub(super) shortage: Option<ShortageRecord>,
    /// Newest increase of free capacity when the request was last tried; `None` before the first
    /// try.
    pub(super) tried_version: Option<CapacityVersion>,
}

/// Distinguishes the phases of a granted attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GrantPhase {
    /// The grant was made; its node has not reported yet that it sent the attempt.
    Granted,
    /// The attempt was sent.
    Running,
    /// The attempt ended, but the endpoint may still hold memory for it.
    Confirming {
        /// Requests for confirmation sent so far.
        requests: u32,
    },
}

/// Holds the grant of one attempt and its progress.
#[derive(Clone, Debug)]
pub(super) struct GrantState {
    pub(super) ticket: GrantTicket,
    pub(super) class: LengthClass,
    pub(super) phase: GrantPhase,
    pub(super) deadline: MonotonicTime,
    pub(super) due_at: MonotonicTime,
    /// Prompt tokens that count as not yet processed; 0 after the first token or the end.
    pub(super) prefill_tokens: TokenCount,
    pub(super) prompt_tokens: TokenCount,
    /// Whether the account still counts the request as in progress.
    pub(super) is_active: bool,
}

/// Decides which request runs on which endpoint of one pool, and when.
///
/// Budgets are exact: when a grant is made, all outstanding grants of its endpoint together exceed
/// neither the capacity of the endpoint, nor the load that it has proven to handle since its last
/// cold start, nor the part of its budget that this scheduler may grant.
#[derive(Clone, Debug)]
pub struct PoolScheduler {
    pub(super) settings: PoolSettings,
    pub(super) endpoints: BTreeMap<EndpointId, ScheduledEndpoint>,
    pub(super) accounts: AccountTable,
    pub(super) queues: [FairQueue; 3],
    pub(super) class_start_tags: [VirtualTime; 3],
    pub(super) class_virtual_time: VirtualTime,
    pub(super) requests: HashMap<RequestId, QueuedRequest>,
    pub(super) grants: HashMap<AttemptId, GrantState>,
    pub(super) claims: [Option<(RequestId, EndpointId)>; 3],
    pub(super) timers: TimerSet,
    pub(super) prefixes: PrefixIndex,
    pub(super) decisions: DecisionRing,
    pub(super) freed_attempts: Vec<AttemptId>,
    pub(super) next_number: ArrivalNumber,
    /// Total memory that the waiting requests need, in tokens.
    pub(super) queued_tokens: TokenCount,
    pub(super) grant_rate: GrantRate,
    pub(super) capacity_log: CapacityLog,
}

impl PoolScheduler {
    /// Creates the scheduler of a pool that has no endpoints yet.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            endpoints: BTreeMap::new(),
            accounts: AccountTable::default(),
            queues: Default::default(),
            class_start_tags: [0; 3],
            class_virtual_time: 0,
            requests: HashMap::new(),
            grants: HashMap::new(),
            claims: Default::default(),
            timers: TimerSet::default(),
            prefixes: PrefixIndex::new(settings.max_prefix_blocks),
            decisions: DecisionRing::new(settings.max_decisions),
            freed_attempts: Vec::new(),
            next_number: 0,
            queued_tokens: 0,
            grant_rate: GrantRate::default(),
            capacity_log: CapacityLog::default(),
            settings,
        }
    }
}

impl PoolScheduler {
    /// Handles all due timers and an event, and returns the actions that the owner must perform.
    ///
    /// `now` is the current time on the owner's clock.
    pub fn handle(&mut self, event: PoolEvent, now: MonotonicTime) -> Vec<PoolAction> {
        let mut actions = Vec::new();
        let is_timed_out = self.run_timers(now, &mut actions);
        if self.apply(event, now, &mut actions) || is_timed_out {
            self.dispatch(now, &mut actions);
        }
        actions
    }

    fn change_settings(&mut self, settings: PoolSettings) {
        self.settings = settings;
        self.capacity_log.record_increase_everywhere();
    }

    /// Returns the state of an endpoint for a change that may increase its free capacity, and
    /// records the increase.
    pub(super) fn endpoint_for_increase(
        &mut self,
        endpoint: &EndpointId,
    ) -> Option<&mut ScheduledEndpoint> {
        let scheduled = self.endpoints.get_mut(endpoint)?;
        self.capacity_log.record_increase(endpoint);
        Some(scheduled)
    }

    /// Removes and returns the attempts whose endpoints were confirmed, since the last call, to
    /// hold no memory for them.
    pub fn take_freed(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.freed_attempts)
    }

    /// Applies an event; returns whether a waiting request might now be granted.
    fn apply(
        &mut self,
        event: PoolEvent,
        now: MonotonicTime,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        match event {
            PoolEvent::Submit(submission) => return self.submit(submission, now, actions),
            PoolEvent::Withdraw { request } => self.withdraw(request, now),
            PoolEvent::Started { attempt } => return self.handle_start(attempt),
            PoolEvent::FirstToken { attempt, after } => {
                return self.handle_first_token(attempt, after, now);
            },
            PoolEvent::AttemptEnded { attempt, outcome, confirmed_free, usage } => {
                self.end_attempt(attempt, outcome, usage, now);
                self.resolve_attempt(attempt, confirmed_free, now, actions);
            },
            PoolEvent::FreeConfirmed { attempt } => self.confirm_free(attempt),
            PoolEvent::NodeStopped { node } => self.remove_node(&node, now, actions),
            PoolEvent::AccountChanged { account, limits } => {
                self.accounts.set_limits(account, limits, now);
                return false;
            },
            PoolEvent::SettingsChanged(settings) => self.change_settings(*settings),
            PoolEvent::Tick => return false,
            other => return self.apply_endpoint_event(other, now),
        }
        true
    }
}

impl PoolScheduler {
    /// Returns the time at which [`PoolEvent::Tick`] is needed if no other event is handled before.
    pub fn next_wakeup(&self) -> Option<MonotonicTime> {
        self.timers.next()
    }

    /// Returns the newest decision on a request, if it is still kept.
    pub fn explain(&self, request: RequestId) -> Option<&DecisionRecord> {
        self.decisions.find(request)
    }

    /// Returns the resource shortage that first made a queued request wait.
    pub fn shortage_of(&self, request: RequestId) -> Option<&ShortageRecord> {
        self.requests.get(&request)?.shortage.as_ref()
    }

    /// Returns the current settings.
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Returns the number of waiting requests of all classes.
    pub fn queued(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of waiting requests of one class.
    pub fn queued_in(&self, class: LengthClass) -> usize {
        self.queues[class as usize].len()
    }

    /// Returns the number of requests of an account that are in progress or queued.
    pub fn active(&self, account: &AccountId) -> u32 {
        self.accounts.active(account)
    }

    /// Returns the outstanding grants, in no particular order.
    pub fn grants(&self) -> impl Iterator<Item = &GrantTicket> {
        self.grants.values().map(|grant| &grant.ticket)
    }

    /// Returns the total of all outstanding grants at an endpoint; zero for an unknown one.
    pub fn used(&self, endpoint: &str) -> BudgetAmount {
        self.endpoints.get(endpoint).map(ScheduledEndpoint::used).unwrap_or_default()
    }

    /// Returns the current limit on the total of all grants at an endpoint; zero for an unknown
    /// one.
    pub fn limit(&self, endpoint: &str) -> BudgetAmount {
        self.endpoints.get(endpoint).map(ScheduledEndpoint::limit).unwrap_or_default()
    }

    /// Returns whether an endpoint counts as cold; `false` for an unknown one.
    pub fn is_cold(&self, endpoint: &str) -> bool {
        self.endpoints.get(endpoint).is_some_and(|scheduled| scheduled.warmup.is_cold())
    }

    /// Returns the endpoints of the pool, including removed ones with outstanding grants.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints.keys()
    }
}

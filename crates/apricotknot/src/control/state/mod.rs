//! Control state of a node: configuration, pools, shares of budgets, and pending grant requests.
//!
//! The state performs no input or output. It handles commands and answers, and collects effects
//! for the control thread to execute.

mod configure;
mod duty;
mod effect;
mod engine;
mod forward;
mod grants;
mod quarantine;
mod shares;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::PoolScheduler;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::admission::ShareLedger;
use apricotknot_core::admission::ShareSettings;
use apricotknot_core::objectives::ObjectiveTracker;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceTable;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::IncarnationNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::PoolId;
use apricotknot_wire::message::GrantReply;
use apricotknot_wire::message::ReportKind;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::ConfigView;
use super::ControlCommand;
use super::GrantAnswer;
use super::SubmitCommand;
use super::outbox::ReportOutbox;
use super::placement::FleetPlacement;
use super::suspects::SuspectTracker;

pub(super) use effect::ControlEffect;

/// Term of a loan of a budget share.
const LOAN_TERM: Duration = Duration::from_secs(2);

/// Remaining time of a loan at which the borrower requests an extension.
const RENEW_BEFORE: Duration = Duration::from_millis(1_400);

/// Longest time that an endpoint holds memory for an attempt whose connection broke.
const ORPHAN_HOLD: Duration = Duration::from_secs(3);

/// Holds where the answer to a request for a grant goes.
#[derive(Debug)]
enum ReplyTarget {
    /// To a traffic thread of this node; the request was forwarded to a pool of another node.
    Forwarded(oneshot::Sender<GrantAnswer>),
    /// To a traffic thread of this node, from a pool of this node; holds a copy of the request.
    Own(oneshot::Sender<GrantAnswer>, Box<RequestSubmission>),
    /// To another node, which requested a grant from a pool of this node.
    Peer(oneshot::Sender<GrantReply>),
}

/// Records which node granted an attempt that this node runs, and at which endpoint.
#[derive(Clone, Debug)]
struct RunningGrant {
    owner: NodeId,
    endpoint: EndpointId,
}

/// Holds a request that could not be granted and is retried later.
#[derive(Debug)]
struct DeferredRequest {
    command: SubmitCommand,
    /// Moment at which the request is retried.
    retry_at: MonotonicTime,
}

/// Holds the control state of a node.
pub(super) struct ControlState {
    node: NodeId,
    table: ResourceTable,
    duty_notices: BTreeMap<ResourceKey, DutyState>,
    objectives: ObjectiveTracker,
    view: watch::Sender<Arc<ConfigView>>,
    pools: BTreeMap<PoolId, PoolScheduler>,
    reply_targets: HashMap<AttemptId, ReplyTarget>,
    running: HashMap<AttemptId, RunningGrant>,
    deferred: Vec<DeferredRequest>,
    placement: FleetPlacement,
    may_act: bool,
    shares: ShareLedger,
    allowances: BTreeMap<EndpointId, BudgetAmount>,
    outbox: ReportOutbox,
    suspects: SuspectTracker,
    effects: Vec<ControlEffect>,
}

impl ControlState {
    /// Creates an empty state that publishes its configuration to `view`.
    ///
    /// `incarnation` must be larger than every earlier incarnation of the node; it is the time of
    /// its start since the Unix epoch, in milliseconds.
    pub(super) fn new(
        node: NodeId,
        incarnation: IncarnationNumber,
        view: watch::Sender<Arc<ConfigView>>,
        now: MonotonicTime,
    ) -> Self {
        let settings = ShareSettings {
            loan_term: LOAN_TERM,
            renew_before: RENEW_BEFORE,
            orphan_hold: ORPHAN_HOLD,
            ..ShareSettings::default()
        };
        Self {
            table: ResourceTable::new(),
            duty_notices: BTreeMap::new(),
            objectives: ObjectiveTracker::new(node.clone(), MonotonicTime::ZERO),
            view,
            pools: BTreeMap::new(),
            reply_targets: HashMap::new(),
            running: HashMap::new(),
            deferred: Vec::new(),
            placement: FleetPlacement::default(),
            may_act: false,
            shares: ShareLedger::new(node.clone(), incarnation, settings, now),
            allowances: BTreeMap::new(),
            outbox: ReportOutbox::default(),
            suspects: SuspectTracker::new(Duration::from_millis(incarnation).saturating_sub(now)),
            effects: Vec::new(),
            node,
        }
    }

    /// Handles one command that arrived at `now`.
    pub(super) fn handle(&mut self, command: ControlCommand, now: MonotonicTime) {
        match command {
            ControlCommand::Submit(command) => self.submit(*command, now),
            ControlCommand::Withdraw { pool, request, attempt } => {
                self.withdraw(&pool, request, attempt, now);
            },
            ControlCommand::Started { pool, attempt } => self.report_started(pool, attempt, now),
            ControlCommand::FirstToken { pool, attempt, after } => {
                self.report_first_token(pool, attempt, after, now);
            },
            ControlCommand::Ended(report) => self.end_attempt(report, now),
            ControlCommand::EndpointCrashed { pool, attempt, endpoint, boot } => {
                let kind = ReportKind::Crashed { attempt, endpoint, boot };
                self.report_to_granter(&pool, attempt, kind, now);
            },
            ControlCommand::ConnectionReset { pool, endpoint } => {
                self.report_reset(pool, endpoint, now);
            },
            ControlCommand::BootSeen { pool, endpoint, boot } => {
                self.report_boot(pool, endpoint, boot, now);
            },
            ControlCommand::Announce { key, duty } => self.announce(&key, duty),
            ControlCommand::Configure(batch) => self.configure(&batch, now),
            ControlCommand::Served(request) => _ = self.objectives.record_request(&request, now),
            ControlCommand::ReadBurn { reply } => _ = reply.send(self.objectives.snapshot(now)),
            ControlCommand::Explain { request, reply } => {
                let record = self.pools.values().find_map(|pool| pool.explain(request)).cloned();
                let _ = reply.send(record);
            },
            ControlCommand::Stop => {},
        }
    }

    /// Advances pools, shares and deferred requests to `now`.
    pub(super) fn tick(&mut self, now: MonotonicTime) {
        self.tick_shares(now);
        self.tick_pools(now);
        self.retry_deferred(now);
    }

    /// Sets whether this node may grant from the pools that it owns.
    pub(super) fn set_may_act(&mut self, may_act: bool) {
        self.may_act = may_act;
    }

    /// Removes and returns the effects collected since the last call.
    pub(super) fn take_effects(&mut self, now: MonotonicTime) -> Vec<ControlEffect> {
        let records = self.suspects.take_updates(now);
        if !records.is_empty() {
            self.effects.push(ControlEffect::StoreSuspects(records));
        }
        for (owner, reports) in self.outbox.take_batches() {
            self.effects.push(ControlEffect::Report { owner, reports });
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the moment at which [`Self::tick`] is next needed, if there is one.
    pub(super) fn next_wakeup(&self) -> Option<MonotonicTime> {
        let pools = self.pools.values().filter_map(PoolScheduler::next_wakeup);
        let deferred = self.deferred.iter().map(|request| request.retry_at);
        pools.chain(deferred).min()
    }

    /// Returns the address of an endpoint.
    pub(super) fn address_of(&self, endpoint: &str) -> Option<std::net::SocketAddr> {
        self.view.borrow().endpoint(endpoint).map(|location| location.address)
    }

    /// Returns the duties that nodes announced to one another and that are not stored yet.
    pub(super) fn duty_notices(&self) -> &BTreeMap<ResourceKey, DutyState> {
        &self.duty_notices
    }

    /// Returns the names of the pools.
    pub(super) fn pool_names(&self) -> Vec<PoolId> {
        self.pools.keys().cloned().collect()
    }
}

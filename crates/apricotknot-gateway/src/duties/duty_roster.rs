//! The duties of one node: their permits and their tasks.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::duty::DutyAction;
use apricotknot_core::duty::DutyContents;
use apricotknot_core::duty::DutyHolder;
use apricotknot_core::duty::DutyKind;
use apricotknot_core::duty::DutyLimits;
use apricotknot_core::fleet::NodeOrder;
use apricotknot_core::fleet::NodePosition;
use apricotknot_core::fleet::first_nodes;
use apricotknot_core::membership::hash_text;
use apricotknot_core::types::IncarnationNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use prometheus_client::metrics::counter::Counter;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::DutyApi;
use super::DutyMetrics;
use super::DutyPermit;
use super::DutySettings;
use super::DutyTools;
use super::PermittedApi;
use super::ScalingController;
use super::ScalingInputs;
use super::ScalingMetrics;
use super::UsageHandle;
use super::UsageReporter;
use super::UsageTools;
use super::duty_desk::DutyDesk;
use crate::clock::BootClock;
use crate::control::ControlState;
use crate::control::SharedState;
use crate::control::StoreUpdate;
use crate::store::EraNumber;
use crate::store::MetadataStore;

/// Shortest interval between two checks whether a call is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two snapshots for the scaling controller.
const INPUTS_INTERVAL: Duration = Duration::from_millis(500);

/// Number of nodes that are told what the holder of a duty needs, the holder included.
const LIKELY_HOLDERS: usize = 3;

/// Holds the settings and the API of the duties.
pub struct DutyParts<A> {
    /// Settings of the duties.
    pub settings: DutySettings,
    /// API through which duties are performed.
    pub api: A,
    /// Metrics of the duties.
    pub metrics: DutyMetrics,
    /// Metrics of the endpoints that are ordered.
    pub scaling_metrics: ScalingMetrics,
}

/// What the usage reporter shares with the control thread.
#[derive(Clone)]
pub(crate) struct UsageParts {
    /// Counts and reports that the node knows.
    pub(crate) accounting: UsageHandle,
    /// Counts the reports that were accepted.
    pub(crate) reports: Counter,
}

/// Duty with the channel to the task that makes its calls of the key-value service.
struct StaffedDuty {
    desk: DutyDesk,
    actions: mpsc::UnboundedSender<DutyAction>,
}

/// Holds the duties that this deployment has.
pub(crate) struct DutyRoster {
    duties: Vec<StaffedDuty>,
    node: NodeId,
    shared: Arc<SharedState>,
    inputs: watch::Sender<Rc<ScalingInputs>>,
    inputs_at: MonotonicTime,
    ticked_at: MonotonicTime,
}

/// What the tasks of all duties share.
pub(crate) struct RosterContext<S> {
    /// Name of the node.
    pub(crate) node: NodeId,
    /// Incarnation of the node.
    pub(crate) incarnation: IncarnationNumber,
    /// Client of the key-value service.
    pub(crate) store: S,
    /// State that is shared with the traffic threads.
    pub(crate) shared: Arc<SharedState>,
    /// Usage that the node counts, if there is a duty to report it.
    pub(crate) usage: Option<UsageParts>,
    /// Logger of the control thread.
    pub(crate) logger: Logger,
}

impl DutyRoster {
    /// Starts the tasks of all duties on the current actix system.
    pub(crate) fn start<S: MetadataStore, A: DutyApi>(
        parts: DutyParts<A>,
        context: RosterContext<S>,
    ) -> Self {
        let (inputs, inputs_reader) = watch::channel(Rc::default());
        let mut duties = Vec::new();
        for kind in parts.settings.kinds.clone() {
            let (duty, tools) = staff(kind, &parts, &context);
            duties.push(duty);
            match kind {
                DutyKind::UsageReport => {
                    if let Some(usage) = context.usage.clone() {
                        start_reporter(tools, usage);
                    }
                },
                DutyKind::Autoscale => {
                    let controller = ScalingController::new(
                        tools,
                        inputs_reader.clone(),
                        parts.scaling_metrics.clone(),
                    );
                    actix_rt::spawn(controller.run());
                },
            }
        }
        let RosterContext { node, shared, .. } = context;
        let (inputs_at, ticked_at) = (MonotonicTime::ZERO, MonotonicTime::ZERO);
        Self { duties, node, shared, inputs, inputs_at, ticked_at }
    }

    /// Records the whole content of the key-value service.
    pub(crate) fn observe_snapshot(&self, update: &StoreUpdate, now: MonotonicTime) {
        for duty in &self.duties {
            let mut found = update.duty_changes.iter();
            let found = found.find(|change| change.kind == duty.desk.kind());
            let contents = DutyContents {
                era: update.era,
                revision: update.revision,
                entry: found.and_then(|change| change.entry.clone()),
            };
            duty.desk.observe(contents, false, now);
        }
    }

    /// Records changes of the key-value service.
    pub(crate) fn observe_changes(&self, update: &StoreUpdate, now: MonotonicTime) {
        for change in &update.duty_changes {
            let changed = self.duties.iter().filter(|duty| duty.desk.kind() == change.kind);
            for duty in changed {
                let contents = DutyContents {
                    era: update.era,
                    revision: change.revision,
                    entry: change.entry.clone(),
                };
                duty.desk.observe(contents, true, now);
            }
        }
    }

    /// Records that the key-value service came back from a copy.
    pub(crate) fn observe_restored(&self, era: EraNumber, now: MonotonicTime) {
        for duty in &self.duties {
            duty.desk.observe_era(era, now);
        }
    }

    /// Has the calls made that are due, and sends the scaling controller a snapshot if one is due.
    pub(crate) fn tick(&mut self, state: &ControlState, now: MonotonicTime) {
        if now < self.ticked_at + TICK_INTERVAL {
            return;
        }
        self.ticked_at = now;
        let is_stopping = self.shared.is_stopping();
        for duty in &self.duties {
            if is_stopping {
                duty.desk.withdraw(now);
            }
            let position = || candidate_position(&self.node, duty.desk.kind(), state);
            if let Some(action) = duty.desk.next_action(position, now) {
                // A closed channel means that the control thread ends.
                let _ = duty.actions.send(action);
            }
        }
        if now >= self.inputs_at + INPUTS_INTERVAL {
            self.inputs_at = now;
            self.inputs.send_replace(Rc::new(state.scaling_inputs(now)));
            let statuses = self.duties.iter().map(|duty| duty.desk.status(now));
            self.shared.set_duties(statuses.collect());
        }
    }
}

/// Starts the task that reports usage.
fn start_reporter<S: MetadataStore, A: DutyApi>(tools: DutyTools<S, A>, usage: UsageParts) {
    let clock = tools.clock;
    let reporter = UsageReporter::new(UsageTools {
        accounting: usage.accounting,
        reports: usage.reports,
        permit: tools.permit,
        api: tools.api,
        store: tools.store,
        clock: move || clock.now(),
        logger: tools.logger,
    });
    actix_rt::spawn(reporter.run());
}

impl DutyRoster {
    /// Returns the holder of a duty, and the nodes whose turn comes next: [`LIKELY_HOLDERS`] together.
    pub(crate) fn likely_holders(&self, kind: DutyKind, state: &ControlState) -> Vec<NodeId> {
        let duty = self.duties.iter().find(|duty| duty.desk.kind() == kind);
        let holder = duty.and_then(|duty| duty.desk.holder());
        let names = state.registry().names();
        let next = first_nodes(&names, hash_text(0, kind.name()), LIKELY_HOLDERS);
        let next = next.into_iter().filter(|node| holder.as_ref() != Some(node));
        holder.clone().into_iter().chain(next).take(LIKELY_HOLDERS).collect()
    }
}

/// Creates one duty and what its task works with, and starts the task of its holder.
fn staff<S: MetadataStore, A: DutyApi>(
    kind: DutyKind,
    parts: &DutyParts<A>,
    context: &RosterContext<S>,
) -> (StaffedDuty, DutyTools<S, PermittedApi<A, DutyDesk>>) {
    let (clock, node) = (BootClock, NodeId::clone(&context.node));
    let permit = DutyPermit::new(NodeId::clone(&node));
    let limits = DutyLimits::new(parts.settings.lease_time);
    let holder = DutyHolder::new(NodeId::clone(&node), context.incarnation, limits);
    let logger = context.logger.clone();
    let desk = DutyDesk::new(kind, holder, permit.clone(), parts.metrics.clone(), logger.clone());
    let (actions, due_actions) = mpsc::unbounded_channel();
    actix_rt::spawn(desk.clone().run(context.store.clone(), due_actions, clock));
    let tools = DutyTools {
        node,
        permit: permit.clone(),
        api: PermittedApi::new(parts.api.clone(), permit, desk.clone(), clock),
        store: context.store.clone(),
        clock,
        settings: parts.settings.clone(),
        logger,
    };
    (StaffedDuty { desk, actions }, tools)
}

/// Returns the position of this node among those that compete for a duty.
fn candidate_position(node: &NodeId, kind: DutyKind, state: &ControlState) -> NodePosition {
    let names = state.registry().names();
    NodeOrder::new(node, &names).position(hash_text(0, kind.name()))
}

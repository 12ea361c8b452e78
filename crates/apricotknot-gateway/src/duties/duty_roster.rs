//! The duties of one node: their permits and their tasks.

use std::rc::Rc;
use std::time::Duration;

use apricotknot_core::duty::DutyKind;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use prometheus_client::metrics::counter::Counter;
use slog::Logger;
use tokio::sync::watch;

use super::DutyApi;
use super::DutyPermit;
use super::DutySettings;
use super::DutyTools;
use super::PermittedApi;
use super::ScalingController;
use super::ScalingInputs;
use super::UsageHandle;
use super::UsageReporter;
use super::UsageTools;
use crate::clock::BootClock;
use crate::control::ControlState;
use crate::store::MetadataStore;

/// Interval between two snapshots for the scaling controller.
const INPUTS_INTERVAL: Duration = Duration::from_millis(500);

/// Holds the settings and the API of the duties.
pub struct DutyParts<A> {
    /// Settings of the duties.
    pub settings: DutySettings,
    /// API through which duties are performed.
    pub api: A,
}

/// What the usage reporter shares with the control thread.
#[derive(Clone)]
pub(crate) struct UsageParts {
    /// Counts and reports that the node knows.
    pub(crate) accounting: UsageHandle,
    /// Counts the reports that were accepted.
    pub(crate) reports: Counter,
}

/// Holds the permits of the duties that this deployment has.
pub(crate) struct DutyRoster {
    inputs: watch::Sender<Rc<ScalingInputs>>,
    inputs_at: MonotonicTime,
}

impl DutyRoster {
    /// Starts the tasks of all duties on the current actix system.
    pub(crate) fn start<S: MetadataStore, A: DutyApi>(
        parts: DutyParts<A>,
        node: &NodeId,
        store: &S,
        usage: Option<UsageParts>,
        logger: &Logger,
    ) -> Self {
        let DutyParts { settings, api } = parts;
        let (inputs, inputs_reader) = watch::channel(Rc::default());
        for kind in settings.kinds.clone() {
            let (clock, permit) = (BootClock, DutyPermit::new(NodeId::clone(node)));
            let tools = DutyTools {
                node: NodeId::clone(node),
                permit: permit.clone(),
                api: PermittedApi::new(api.clone(), permit, clock),
                store: store.clone(),
                clock,
                settings: settings.clone(),
                logger: logger.clone(),
            };
            match kind {
                DutyKind::UsageReport => {
                    if let Some(usage) = usage.clone() {
                        start_reporter(tools, usage);
                    }
                },
                DutyKind::Autoscale => {
                    let controller = ScalingController::new(tools, inputs_reader.clone());
                    actix_rt::spawn(controller.run());
                },
            }
        }
        Self { inputs, inputs_at: MonotonicTime::ZERO }
    }

    /// Sends the scaling controller a snapshot of `state` if one is due.
    pub(crate) fn tick(&mut self, state: &ControlState, now: MonotonicTime) {
        if now >= self.inputs_at + INPUTS_INTERVAL {
            self.inputs_at = now;
            self.inputs.send_replace(Rc::new(state.scaling_inputs(now)));
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

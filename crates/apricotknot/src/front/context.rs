//! Context of the traffic threads: the parts that all threads share and those of one thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use apricotknot_core::outcome::RetryBudget;
use apricotknot_core::types::ServiceId;
use apricotknot_gateway::endpoint::AnswerBudget;
use apricotknot_gateway::intake::IntakeControl;
use slog::Logger;
use tokio::sync::watch;

use crate::control::ControlHandle;
use crate::control::NodeClock;
use crate::plain::LedgerHandle;
use crate::settings::CallerSettings;
use crate::settings::NodeIdentity;
use crate::store::CallBudget;
use crate::telemetry::NodeMetrics;

/// Phase of a node between start and shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NodePhase {
    /// No configuration has been loaded yet, so the node is not ready.
    Starting,
    /// Requests are accepted.
    Ready,
    /// Requests are accepted, but the readiness check fails so that the balancer sends no more.
    Leaving,
    /// New requests are refused and open requests are aborted.
    Stopping,
}

/// Holds the handles and settings that all traffic threads share.
#[derive(Clone, Debug)]
pub struct SharedContext {
    /// Budget of the calls that the node may make to the key-value service.
    pub store_budget: Arc<CallBudget>,
    /// Identity of this node.
    pub identity: NodeIdentity,
    /// Settings of the HTTP interface for callers.
    pub settings: CallerSettings,
    /// Monotonic clock of the node.
    pub clock: NodeClock,
    /// Logger of the node.
    pub logger: Logger,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Handle that sends commands to the control thread and reads the configuration.
    pub control: ControlHandle,
    /// Memory that the answers which the node holds may occupy.
    pub answer_budget: Arc<AnswerBudget>,
    /// What the connections of callers occupy.
    pub callers: Arc<IntakeControl>,
    /// Handle to the ledger of non-repeatable calls.
    pub ledger: LedgerHandle,
    /// Current phase of the node.
    pub phase: watch::Receiver<NodePhase>,
}

impl SharedContext {
    /// Returns whether the balancer should send requests to this node.
    pub fn is_ready(&self) -> bool {
        let phase = *self.phase.borrow();
        phase == NodePhase::Ready && self.control.is_ready() && !self.callers.is_full()
    }
}

/// Holds the context of one traffic thread.
#[derive(Debug)]
pub struct TrafficContext<E> {
    /// Parts that all traffic threads share.
    pub shared: SharedContext,
    /// Client that calls the engines.
    pub engine: E,
    /// Retry budgets of this thread, one for each service.
    pub retry_budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
}

impl<E> TrafficContext<E> {
    /// Creates the context of one thread, with empty retry budgets.
    pub fn new(shared: SharedContext, engine: E) -> Self {
        Self { shared, engine, retry_budgets: RefCell::new(HashMap::new()) }
    }

    /// Returns the current phase of the node.
    pub fn phase(&self) -> NodePhase {
        *self.shared.phase.borrow()
    }

    /// Returns whether the balancer should send requests to this node.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }
}

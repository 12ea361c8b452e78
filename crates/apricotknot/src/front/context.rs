//! What the traffic threads work with.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use apricotknot_core::outcome::RetryBudget;
use apricotknot_core::types::ServiceId;
use slog::Logger;
use tokio::sync::watch;

use crate::control::ControlHandle;
use crate::control::NodeClock;
use crate::plain::LedgerHandle;
use crate::settings::CallerSettings;
use crate::settings::NodeIdentity;
use crate::store::CallBudget;
use crate::telemetry::NodeMetrics;

/// Says how far a node is in its life.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NodePhase {
    /// No configuration has been loaded.
    Starting,
    /// Requests are taken.
    Ready,
    /// Requests are taken, but the balancer is told to send no more.
    Leaving,
    /// Open requests are cut.
    Stopping,
}

/// Holds what all traffic threads share.
#[derive(Clone, Debug)]
pub struct SharedContext {
    /// Calls that the node may make of the key-value service.
    pub store_budget: Arc<CallBudget>,
    /// Which node this is.
    pub identity: NodeIdentity,
    /// Settings of the callers' interface.
    pub settings: CallerSettings,
    /// Clock of the node.
    pub clock: NodeClock,
    /// Log of the node.
    pub logger: Logger,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Commands to the control thread.
    pub control: ControlHandle,
    /// Ledger of calls that may not be repeated.
    pub ledger: LedgerHandle,
    /// Phase of the node.
    pub phase: watch::Receiver<NodePhase>,
}

/// Holds what one traffic thread works with.
#[derive(Debug)]
pub struct TrafficContext<E> {
    /// What all traffic threads share.
    pub shared: SharedContext,
    /// Way to the engines.
    pub engine: E,
    /// Retry budgets, one for each service.
    pub retry_budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
}

impl<E> TrafficContext<E> {
    /// Creates the context of one thread.
    pub fn new(shared: SharedContext, engine: E) -> Self {
        Self { shared, engine, retry_budgets: RefCell::new(HashMap::new()) }
    }

    /// Returns the phase of the node.
    pub fn phase(&self) -> NodePhase {
        *self.shared.phase.borrow()
    }

    /// Returns whether the balancer should send requests.
    pub fn is_ready(&self) -> bool {
        self.phase() == NodePhase::Ready && self.shared.control.is_ready()
    }
}

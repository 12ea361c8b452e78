//! The control thread, which runs the control state of a node.

use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;

use apricotknot_core::ledger::LedgerPolicy;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::NodeId;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::ConfigView;
use super::ControlCommand;
use super::ControlHandle;
use super::FleetStatus;
use super::NodeClock;
use super::runner::ControlChannels;
use super::runner::ControlRunner;
use crate::plain::LedgerHandle;
use crate::settings::PeerSettings;
use crate::settings::StoreSettings;
use crate::store::CallBudget;
use crate::telemetry::NodeMetrics;

/// Holds the settings, the clock, the logger and the metrics of the control thread.
#[derive(Clone, Debug)]
pub struct ControlContext {
    /// Limit on the rate of the node's calls to the key-value service.
    pub store_budget: Arc<CallBudget>,
    /// Name of the node.
    pub node: NodeId,
    /// Clock of the node.
    pub clock: NodeClock,
    /// Logger of the node.
    pub logger: Logger,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Settings of the client of the key-value service.
    pub store: StoreSettings,
    /// Data centre that the node is in.
    pub data_centre: DataCentreId,
    /// Settings of the interface between nodes.
    pub peers: PeerSettings,
    /// Limits of the ledger of non-repeatable calls.
    pub ledger: LedgerPolicy,
}

/// Runs the control state on its own thread.
#[derive(Debug)]
pub struct ControlThread {
    handle: ControlHandle,
    ledger: LedgerHandle,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Starts the thread, and waits until it listens for peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot create a thread, if the address for peers cannot be
    /// listened on, or if a shared key is invalid.
    pub fn start(context: ControlContext) -> io::Result<Self> {
        let (command_sender, commands) = mpsc::unbounded_channel();
        let (view_sender, view) = watch::channel(Arc::new(ConfigView::default()));
        let (status_sender, status) = watch::channel(Arc::new(FleetStatus::default()));
        let handle = ControlHandle::new(command_sender, view, status);
        let (ledger, ledger_commands) = LedgerHandle::channel();
        let (started_sender, started) = std::sync::mpsc::sync_channel(1);
        let thread = std::thread::Builder::new().name("control".to_owned()).spawn(move || {
            actix_rt::System::new().block_on(async move {
                let channels =
                    ControlChannels { commands, view: view_sender, status: status_sender };
                match ControlRunner::start(context, channels, ledger_commands).await {
                    Ok(runner) => {
                        let _ = started_sender.send(Ok(()));
                        runner.run().await;
                    },
                    Err(error) => _ = started_sender.send(Err(error)),
                }
            });
        })?;
        started.recv().unwrap_or_else(|_| Err(io::Error::other("control thread panicked")))?;
        Ok(Self { handle, ledger, thread })
    }

    /// Returns a handle for traffic threads.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// Returns a handle to the ledger for traffic threads.
    pub fn ledger(&self) -> LedgerHandle {
        self.ledger.clone()
    }

    /// Stops the thread and waits until it has ended.
    pub fn stop(self) {
        self.handle.send(ControlCommand::Stop);
        let _ = self.thread.join();
    }
}

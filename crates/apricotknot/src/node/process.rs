//! Start and planned shutdown of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use actix_server::Server;
use apricotknot_core::ledger::LedgerPolicy;
use apricotknot_gateway::endpoint::AnswerBudget;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use super::NodeError;
use super::server::caller_intake;
use super::server::listen;
use super::server::start_servers;
use crate::control::ControlContext;
use crate::control::ControlHandle;
use crate::control::ControlThread;
use crate::control::NodeClock;
use crate::front::NodePhase;
use crate::front::SharedContext;
use crate::settings::NodeSettings;
use crate::settings::ShutdownSettings;
use crate::store::CallBudget;
use crate::store::CallLimits;
use crate::telemetry::NodeMetrics;

/// Interval at which a shutdown checks whether requests are still open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Memory that long answers may occupy together, in bytes; it holds two of the largest size.
const MAX_ANSWER_MEMORY_BYTES: usize = 64 << 20;

/// Time limit for open requests to end after they are interrupted.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs one node: its control thread, its traffic threads, and their start and shutdown.
#[derive(Debug)]
pub struct NodeProcess {
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    shutdown: ShutdownSettings,
    logger: Logger,
    metrics: Arc<NodeMetrics>,
    phase: watch::Sender<NodePhase>,
    control: ControlThread,
    servers: [actix_server::ServerHandle; 2],
    server_thread: JoinHandle<()>,
}

/// Time limit for recording the last answers of non-repeatable calls at a shutdown.
const LEDGER_DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

impl NodeProcess {
    /// Starts a node that logs to `logger`.
    ///
    /// # Errors
    ///
    /// Returns an error if the node cannot listen on an address or start a thread.
    pub fn start(settings: &NodeSettings, logger: Logger) -> Result<Self, NodeError> {
        let callers = listen(settings.callers.listen, "callers")?;
        let operators = listen(settings.operators.listen, "operators")?;
        let caller_address = local_address(&callers, settings.callers.listen);
        let operator_address = local_address(&operators, settings.operators.listen);
        let clock = NodeClock::start();
        let limits = CallLimits {
            calls_per_second: settings.store.calls_per_second,
            ..CallLimits::default()
        };
        let store_budget = Arc::new(CallBudget::new(limits));
        let metrics = Arc::new(NodeMetrics::new().store(&store_budget));
        let (phase, phase_receiver) = watch::channel(NodePhase::Ready);
        let control = ControlThread::start(ControlContext {
            store_budget: store_budget.clone(),
            node: settings.identity.name.clone(),
            clock,
            logger: logger.clone(),
            metrics: metrics.clone(),
            store: settings.store.clone(),
            data_centre: settings.identity.data_centre.clone(),
            peers: settings.peers.clone(),
            ledger: LedgerPolicy::default(),
        })
        .map_err(|source| NodeError::Thread { purpose: "control", source })?;
        let shared = SharedContext {
            store_budget,
            identity: settings.identity.clone(),
            settings: settings.callers.clone(),
            clock,
            logger: logger.clone(),
            metrics: metrics.clone(),
            control: control.handle(),
            answer_budget: Arc::new(AnswerBudget::new(MAX_ANSWER_MEMORY_BYTES)),
            callers: caller_intake(settings, &metrics, &logger),
            ledger: control.ledger(),
            phase: phase_receiver,
        };
        let (servers, server_thread) = run_servers(settings.clone(), shared, callers, operators)?;
        info!(logger, "node: started"; "callers" => %caller_address, "operators" => %operator_address);
        Ok(Self {
            caller_address,
            operator_address,
            shutdown: settings.shutdown.clone(),
            logger,
            metrics,
            phase,
            control,
            servers,
            server_thread,
        })
    }

    /// Returns the address on which the callers' interface listens.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address on which the operators' interface listens.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns a handle to the control thread.
    pub fn control(&self) -> ControlHandle {
        self.control.handle()
    }

    /// Stops the node after its open requests have finished; returns the number of interrupted
    /// requests.
    ///
    /// Requests are interrupted only if they are still open when the shutdown's time limit expires
    /// or `force` completes.
    pub async fn stop(self, force: impl Future<Output = ()>) -> i64 {
        info!(self.logger, "node: shutting down; waiting for open requests");
        self.phase.send_replace(NodePhase::Leaving);
        let limit = self.shutdown.unready_wait + self.shutdown.drain_timeout;
        let drain = async {
            tokio::time::sleep(self.shutdown.unready_wait).await;
            self.wait_until_idle().await;
        };
        tokio::select! {
            () = drain => {},
            () = force => {},
            () = tokio::time::sleep(limit) => {},
        }
        let interrupted = self.metrics.open_requests.get();
        self.phase.send_replace(NodePhase::Stopping);
        if interrupted > 0 {
            warn!(self.logger, "node: interrupting the open requests"; "requests" => interrupted);
            let _ = tokio::time::timeout(CANCEL_TIMEOUT, self.wait_until_idle()).await;
        }
        if !self.control.ledger().drain(LEDGER_DRAIN_TIMEOUT).await {
            warn!(
                self.logger,
                "node: some answers of non-repeatable calls were not recorded before the shutdown"
            );
        }
        for server in &self.servers {
            server.stop(true).await;
        }
        let _ = self.server_thread.join();
        self.control.stop();
        info!(self.logger, "node: stopped"; "cut" => interrupted);
        interrupted
    }

    /// Waits until no requests are open.
    async fn wait_until_idle(&self) {
        while self.metrics.open_requests.get() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Returns the address of the listener, with the port that the system chose if 0 was requested.
fn local_address(listener: &std::net::TcpListener, requested: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(requested)
}

/// Starts the HTTP servers on a thread of their own and waits until they run.
fn run_servers(
    settings: NodeSettings,
    shared: SharedContext,
    callers: std::net::TcpListener,
    operators: std::net::TcpListener,
) -> Result<([actix_server::ServerHandle; 2], JoinHandle<()>), NodeError> {
    let (sender, receiver) = mpsc::sync_channel(1);
    let as_error = |source| NodeError::Thread { purpose: "server", source };
    let run = move || {
        actix_rt::System::new().block_on(async move {
            let servers = match start_servers(&settings, &shared, callers, operators) {
                Ok(servers) => servers,
                Err(error) => {
                    let _ = sender.send(Err(error));
                    return;
                },
            };
            let _ = sender.send(Ok(servers.each_ref().map(Server::handle)));
            futures::future::join_all(servers).await;
        });
    };
    let thread =
        std::thread::Builder::new().name("server".to_owned()).spawn(run).map_err(as_error)?;
    let handles = receiver
        .recv()
        .unwrap_or_else(|_| {
            Err(std::io::Error::other("the server thread ended before the servers were started"))
        })
        .map_err(as_error)?;
    Ok((handles, thread))
}

//! A running gateway node: its listeners, its control thread and its planned stop.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::KeepAlive;
use actix_http::ServiceConfigBuilder;
use actix_rt::net::TcpStream;
use apricotknot_core::duty::DutyKind;
use apricotknot_core::intake::IntakeLimits;
use apricotknot_core::types::NodeId;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

use crate::GatewayMetrics;
use crate::GatewaySettings;
use crate::clock::BootClock;
use crate::clock::start_incarnation;
use crate::control::ControlParts;
use crate::control::FleetLimits;
use crate::control::SharedState;
use crate::control::start_control;
use crate::driver::CallerSession;
use crate::driver::TrafficContext;
use crate::duties::DutyApi;
use crate::duties::DutyParts;
use crate::endpoint::AnswerBudget;
use crate::intake::ConnectionShares;
use crate::intake::IntakeConnection;
use crate::intake::IntakeControl;
use crate::intake::available_descriptors;
use crate::operations::OperationsSession;
use crate::protocol::CallProtocol;
use crate::protocol::RecordTranslator;
use crate::relay::RelaySession;
use crate::store::MetadataStore;

/// Most established connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Part of the machine's memory that long answers may occupy until callers have read them.
const ANSWER_MEMORY_DIVISOR: usize = 5;

/// Part of the machine's memory that requests of callers may hold while they arrive and run.
const REQUEST_MEMORY_DIVISOR: usize = 5;

/// Memory that requests of the balancer, of operators or of peers may hold, in bytes.
const OTHER_REQUEST_BYTES: usize = 256 * 1_024;

/// Time after which silent connections of the balancer, of operators or of peers may have to give
/// way; their requests fit into one packet.
const SHORT_STALL_TIME: Duration = Duration::from_millis(200);

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time for which a stopping node still accepts requests.
///
/// The balancer learns within it that the node is not ready, and sends new connections elsewhere.
const UNREADY_PERIOD: Duration = Duration::from_millis(2_800);

/// Time between two checks whether all requests are answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Part of the stop timeout that is left for the last answers and for the process to exit.
const STOP_RESERVE: Duration = Duration::from_millis(400);

/// Longest time in which the calls that are ended are answered.
const ANSWER_RESERVE: Duration = Duration::from_millis(150);

/// A gateway node that serves callers until [`GatewayNode::stop`] is called.
pub struct GatewayNode<P> {
    context: TrafficContext<P>,
    stop_timeout: Duration,
}

impl<P: CallProtocol> GatewayNode<P> {
    /// Starts the control thread and listens for callers and operators.
    ///
    /// Must be called within an actix system. `store` and `duty_api` create the clients of the
    /// key-value service and of the API for duties from their addresses, on the control thread.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or the control thread cannot be started.
    pub async fn start<S, T, A, F, G>(
        settings: GatewaySettings,
        protocol: P,
        translator: T,
        store: F,
        duty_api: G,
        logger: Logger,
    ) -> io::Result<Self>
    where
        S: MetadataStore,
        T: RecordTranslator + Send,
        A: DutyApi,
        F: FnOnce(SocketAddr) -> S + Send + 'static,
        G: FnOnce(SocketAddr) -> A + Send + 'static,
    {
        let shared = Arc::new(SharedState::new(settings.staleness));
        let callers = listen(settings.caller_address)?;
        let operations = listen(settings.operations_address)?;
        let peers = listen(settings.peer_address)?;
        let name = NodeId::clone(&settings.node);
        let incarnation = start_incarnation();
        info!(
            logger, "node: started";
            "incarnation" => incarnation, "data_centre" => %settings.data_centre,
            "callers" => %settings.caller_address, "operations" => %settings.operations_address
        );
        let stop_timeout = settings.stop_timeout;
        let reserved_idle_time = settings.reserved_idle_time;
        let counts_usage = settings
            .duties
            .as_ref()
            .is_some_and(|duties| duties.kinds.contains(&DutyKind::UsageReport));
        let (memory_bytes, max_descriptors) = (settings.memory_bytes, settings.max_descriptors);
        let metrics = Arc::new(GatewayMetrics::new());
        let parts = {
            let (shared, metrics) = (Arc::clone(&shared), Arc::clone(&metrics));
            let (logger, duty_metrics) = (logger.clone(), metrics.duties.clone());
            move || ControlParts {
                node: settings.node,
                incarnation,
                data_centre: settings.data_centre,
                peer_address: settings.peer_address,
                regions: settings.regions,
                max_read_interval: settings.max_read_interval,
                limits: FleetLimits { retries: settings.retries },
                store: store(settings.store_address),
                translator,
                duties: settings.duties.map(|settings| DutyParts {
                    api: duty_api(settings.address),
                    settings,
                    metrics: duty_metrics,
                }),
                shared,
                metrics,
                logger,
            }
        };
        let (control, _) = start_control(parts)?;
        let intake = InterfaceIntakes::new(memory_bytes, max_descriptors, &metrics, &logger);
        let context = TrafficContext {
            node: name,
            counts_usage,
            reserved_idle_time,
            protocol,
            http: ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build(),
            shared,
            control,
            clock: BootClock,
            answer_budget: Arc::new(AnswerBudget::new(
                settings.memory_bytes / ANSWER_MEMORY_DIVISOR,
            )),
            metrics,
            logger,
        };
        let node = Self { context, stop_timeout };
        node.serve_callers(callers, Arc::clone(&intake.callers));
        node.serve_operations(operations, intake.operations, intake.callers);
        node.serve_peers(peers, intake.peers);
        Ok(node)
    }

    /// Waits until the control thread has ended, without which the node serves nothing.
    pub async fn control_ended(&self) {
        self.context.control.ended().await;
    }

    /// Stops accepting requests, and waits until the accepted ones are answered.
    ///
    /// Waits no longer than the stop timeout of the settings, less a reserve. Calls that are still
    /// in progress then end with an error answer, or truncated; returns their number.
    pub async fn stop(self) -> i64 {
        let stop_time = self.stop_timeout.saturating_sub(STOP_RESERVE);
        let end = tokio::time::Instant::now() + stop_time;
        info!(self.context.logger, "node: stopping"; "open" => self.open_calls());
        self.context.shared.mark_stopping(self.context.clock.now() + stop_time);
        tokio::time::sleep(UNREADY_PERIOD.min(self.stop_timeout / 2)).await;
        self.context.shared.mark_closed();
        info!(self.context.logger, "node: closed to requests"; "open" => self.open_calls());
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        self.wait_for_calls(end).await;
        let ended = self.open_calls();
        self.context.shared.mark_ending();
        self.wait_for_calls(end + ANSWER_RESERVE).await;
        info!(
            self.context.logger, "node: stopped"; "ended" => ended, "cut" => self.open_calls()
        );
        self.context.control.stop().await;
        ended
    }

    /// Waits until no call is in progress, or until `end`.
    async fn wait_for_calls(&self, end: tokio::time::Instant) {
        while self.open_calls() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    fn serve_callers(&self, listener: TcpListener, intake: Arc<IntakeControl>) {
        let context = self.context.clone();
        accept_connections(listener, intake, context.logger.clone(), move |stream, intake| {
            CallerSession::new(context.clone(), stream, intake).run()
        });
    }

    fn serve_operations(
        &self,
        listener: TcpListener,
        intake: Arc<IntakeControl>,
        callers: Arc<IntakeControl>,
    ) {
        let context = self.context.clone();
        accept_connections(listener, intake, context.logger.clone(), move |stream, intake| {
            OperationsSession::new(context.clone(), stream, intake, Arc::clone(&callers)).run()
        });
    }

    fn serve_peers(&self, listener: TcpListener, intake: Arc<IntakeControl>) {
        let context = self.context.clone();
        accept_connections(listener, intake, context.logger.clone(), move |stream, intake| {
            RelaySession::new(context.clone(), stream, intake).run()
        });
    }

    /// Returns the number of calls in progress, of callers and of other nodes.
    fn open_calls(&self) -> i64 {
        self.context.metrics.open_calls.get() + self.context.metrics.open_relays.get()
    }
}

/// What the clients of each interface may occupy.
struct InterfaceIntakes {
    callers: Arc<IntakeControl>,
    operations: Arc<IntakeControl>,
    peers: Arc<IntakeControl>,
}

impl InterfaceIntakes {
    fn new(
        memory_bytes: usize,
        max_descriptors: usize,
        metrics: &GatewayMetrics,
        logger: &Logger,
    ) -> Self {
        let shares = ConnectionShares::of(available_descriptors(max_descriptors), memory_bytes);
        let control = |interface, limits| {
            IntakeControl::new(interface, limits, metrics.intake.clone(), logger.clone())
        };
        let others = |connections| {
            IntakeLimits::new(OTHER_REQUEST_BYTES, connections).stall_time(SHORT_STALL_TIME)
        };
        let memory = memory_bytes / REQUEST_MEMORY_DIVISOR;
        Self {
            callers: control("callers", IntakeLimits::new(memory, shares.callers)),
            operations: control("operations", others(shares.operations)),
            peers: control("peers", others(shares.peers)),
        }
    }
}

/// Accepts connections without end, as far as `intake` has room, and serves each one in its own
/// task.
fn accept_connections<F, Fut>(
    listener: TcpListener,
    intake: Arc<IntakeControl>,
    logger: Logger,
    serve: F,
) where
    F: Fn(TcpStream, IntakeConnection) -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    actix_rt::spawn(async move {
        loop {
            intake.room().await;
            match listener.accept().await {
                Ok((stream, _)) => _ = actix_rt::spawn(serve(stream, intake.open())),
                Err(error) => {
                    warn!(logger, "node: cannot accept a connection; retrying"; "error" => %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                },
            }
        }
    });
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

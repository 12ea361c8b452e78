//! Main loop of the control thread: it passes inputs to the control state and carries out the
//! effects.

mod feed_events;
mod peer_exchange;
mod usage;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use actix_rt::System;
use apricotknot_core::fleet::PromptPartId;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::RegionId;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use self::peer_exchange::PeerExchange;
use self::usage::start_usage;
use super::ControlCommand;
use super::ControlHandle;
use super::ControlState;
use super::FeedEvent;
use super::FleetLimits;
use super::HoldNotice;
use super::MissingNotice;
use super::NodeRecord;
use super::SharedState;
use super::StateFeed;
use super::announcer::AnnouncerSignals;
use super::announcer::NodeAnnouncer;
use super::loop_load::InputKind;
use super::loop_load::LoopLoad;
use super::record_keeper::KEEPER_CAPACITY;
use super::record_keeper::KeptRecord;
use super::record_keeper::RecordKeeper;
use super::registry::configuration_key;
use super::registry::part_key;
use crate::GatewayMetrics;
use crate::clock::BootClock;
use crate::clock::millis;
use crate::duties::DutyApi;
use crate::duties::DutyParts;
use crate::duties::DutyRoster;
use crate::duties::UsageHandle;
use crate::duties::UsageParts;
use crate::protocol::RecordTranslator;
use crate::store::MetadataStore;

/// Interval between two ticks of the state while a request waits.
const BUSY_TICK: Duration = Duration::from_millis(15);

/// Interval between two ticks of the state while no request waits.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// Longest time that the thread waits at its end for the node to be withdrawn.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(300);

/// Capacity of the channel for events of the key-value service.
const FEED_CAPACITY: usize = 64;

/// Most commands that are handled before the other inputs are polled again.
const COMMAND_BATCH: usize = 64;

/// Holds the settings and the dependencies of the control thread.
pub struct ControlParts<S, T, A> {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Data centre that the node runs in.
    pub data_centre: DataCentreId,
    /// Address at which the node receives load snapshots, over UDP.
    pub peer_address: SocketAddr,
    /// Region of each data centre.
    pub regions: BTreeMap<DataCentreId, RegionId>,
    /// Longest interval between two reads of the key-value service.
    pub max_read_interval: Duration,
    /// Limits that apply to all nodes together.
    pub limits: FleetLimits,
    /// Client of the key-value service.
    pub store: S,
    /// Translator of the platform's records.
    pub translator: T,
    /// Duties of the fleet, if there are any.
    pub duties: Option<DutyParts<A>>,
    /// State that is published to the traffic threads.
    pub shared: Arc<SharedState>,
    /// Metrics of the node.
    pub metrics: Arc<GatewayMetrics>,
    /// Logger of the control thread.
    pub logger: Logger,
}

/// Starts the control thread.
///
/// `parts` is called on the new thread, because a store need not be `Send`.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub fn start_control<S, T, A, F>(parts: F) -> io::Result<(ControlHandle, thread::JoinHandle<()>)>
where
    S: MetadataStore,
    T: RecordTranslator,
    A: DutyApi,
    F: FnOnce() -> ControlParts<S, T, A> + Send + 'static,
{
    let (sender, commands) = mpsc::unbounded_channel();
    let handle = ControlHandle::new(sender);
    let own_handle = handle.clone();
    let thread = thread::Builder::new().name("control".into()).spawn(move || {
        System::new().block_on(async move {
            let parts = parts();
            let logger = parts.logger.clone();
            match ControlRunner::start(parts, own_handle, commands).await {
                Ok(runner) => runner.run().await,
                Err(error) => {
                    slog::error!(
                        logger, "control: cannot start the control thread"; "error" => %error
                    );
                },
            }
        });
    })?;
    Ok((handle, thread))
}

struct ControlRunner {
    state: ControlState,
    clock: BootClock,
    commands: mpsc::UnboundedReceiver<ControlCommand>,
    feed_events: mpsc::Receiver<FeedEvent>,
    /// Number of nodes; the feed reads it.
    node_count: Rc<Cell<usize>>,
    peers: PeerExchange,
    /// Task that keeps the node announced until it is told to stop.
    announcer_task: JoinHandle<()>,
    announcer_signals: Rc<AnnouncerSignals>,
    shared: Arc<SharedState>,
    logger: Logger,
    load: LoopLoad,
    /// Sends records to the task that writes them to the key-value service.
    keeper: mpsc::Sender<KeptRecord>,
    duties: Option<DutyRoster>,
    /// Usage that the node counts, if the deployment asks for reports.
    usage: Option<UsageHandle>,
    /// Time at which usage was last attended to.
    usage_at: MonotonicTime,
    /// Time at which usage was last published to operators.
    usage_published_at: MonotonicTime,
    metrics: Arc<GatewayMetrics>,
}

impl ControlRunner {
    async fn start<S: MetadataStore, T: RecordTranslator, A: DutyApi>(
        parts: ControlParts<S, T, A>,
        handle: ControlHandle,
        commands: mpsc::UnboundedReceiver<ControlCommand>,
    ) -> io::Result<Self> {
        let clock = BootClock;
        let mut peers = PeerExchange::bind(
            parts.peer_address,
            Arc::clone(&parts.node),
            Arc::clone(&parts.data_centre),
            parts.logger.clone(),
        )
        .await?;
        let (events, feed_events) = mpsc::channel(FEED_CAPACITY);
        let node_count = Rc::new(Cell::new(1));
        let state_feed = StateFeed::new(
            parts.store.clone(),
            parts.translator,
            clock,
            events,
            Rc::clone(&node_count),
        );
        actix_rt::spawn(state_feed.max_interval(parts.max_read_interval).run());
        let record = NodeRecord {
            address: parts.peer_address,
            incarnation: parts.incarnation,
            data_centre: Some(Arc::clone(&parts.data_centre)),
        };
        let logger = parts.logger.clone();
        let announcer_signals = Rc::new(AnnouncerSignals {
            node_count: Rc::clone(&node_count),
            ..AnnouncerSignals::default()
        });
        let (keeper, kept_records) = mpsc::channel(KEEPER_CAPACITY);
        let record_keeper = RecordKeeper::new(parts.store.clone(), kept_records, logger.clone());
        actix_rt::spawn(record_keeper.run());
        let usage_settings = parts.duties.as_ref().map(|duties| &duties.settings);
        let usage = usage_settings
            .and_then(|settings| start_usage(&parts.node, parts.incarnation, settings, clock));
        peers.set_usage(usage.clone());
        let usage_parts = usage.clone().map(|accounting| UsageParts {
            accounting,
            reports: parts.metrics.usage_reports.clone(),
        });
        let duties = parts.duties.map(|duties| {
            DutyRoster::start(duties, &parts.node, &parts.store, usage_parts, &logger)
        });
        let announcer = NodeAnnouncer::new(
            parts.store,
            Arc::clone(&parts.node),
            record,
            Rc::clone(&announcer_signals),
            logger,
        );
        let announcer_task = actix_rt::spawn(announcer.run());
        let mut state =
            ControlState::new(handle, parts.node, parts.incarnation, parts.regions, parts.limits);
        state.set_data_centre(parts.data_centre);
        Ok(Self {
            state,
            clock,
            commands,
            feed_events,
            peers,
            node_count,
            announcer_task,
            announcer_signals,
            shared: parts.shared,
            logger: parts.logger,
            load: LoopLoad::default(),
            keeper,
            duties,
            usage,
            usage_at: MonotonicTime::ZERO,
            usage_published_at: MonotonicTime::ZERO,
            metrics: parts.metrics,
        })
    }

    async fn run(mut self) {
        let mut batch = Vec::with_capacity(COMMAND_BATCH);
        loop {
            let tick = if self.state.has_waiting() { BUSY_TICK } else { IDLE_TICK };
            let tick = tick.min(self.peers.next_send().saturating_sub(self.clock.now()));
            let (kind, woken) = tokio::select! {
                count = self.commands.recv_many(&mut batch, COMMAND_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    let woken = self.clock.now();
                    if let Some(done) = self.handle_batch(&mut batch) {
                        self.withdraw().await;
                        let _ = done.send(());
                        return;
                    }
                    (InputKind::Commands(count), woken)
                },
                Some(event) = self.feed_events.recv() => {
                    let woken = self.clock.now();
                    self.handle_feed(event);
                    (InputKind::Other, woken)
                },
                Ok(()) = self.peers.readable() => {
                    let woken = self.clock.now();
                    let count = self.peers.receive(&mut self.state, woken);
                    (InputKind::Datagrams(count), woken)
                },
                () = tokio::time::sleep(tick) => (InputKind::Other, self.clock.now()),
            };
            self.state.tick(self.clock.now());
            self.publish_notices();
            self.log_rate_changes();
            self.publish_path_health();
            self.log_endpoint_notices();
            self.log_hold_notices();
            self.log_missing_notices();
            self.keep_lost_configuration();
            self.tick_duties();
            self.tick_usage();
            self.peers.send_due(&mut self.state, self.clock.now());
            self.record_load(kind, woken);
        }
    }

    fn tick_duties(&mut self) {
        if let Some(duties) = &mut self.duties {
            duties.tick(&self.state, self.clock.now());
        }
    }

    /// Logs newly quarantined prompt parts, and records those that this node found in the key-value
    /// service.
    fn publish_notices(&mut self) {
        for notice in self.state.take_notices() {
            warn!(
                self.logger, "control: prompt part quarantined; refusing prompts that contain it";
                "part" => notice.part, "crashes" => notice.crashes, "is_own" => notice.is_own
            );
            if notice.is_own {
                self.record_part(notice.part);
            }
        }
    }

    fn record_part(&self, part: PromptPartId) {
        self.keep_record(KeptRecord { key: part_key(part), value: Arc::from(*b"{}") });
    }

    /// Writes the configuration in force to the key-value service if that has lost it.
    fn keep_lost_configuration(&mut self) {
        let Some(desired) = self.state.take_lost_configuration(self.clock.now()) else {
            return;
        };
        warn!(
            self.logger,
            "control: key-value service lost the configuration in force; keeping it there";
            "version" => desired.version
        );
        let (key, value) = (configuration_key(desired.version), Arc::clone(&desired.source));
        self.keep_record(KeptRecord { key, value });
    }

    fn keep_record(&self, record: KeptRecord) {
        if let Err(error) = self.keeper.try_send(record) {
            let record = error.into_inner();
            warn!(
                self.logger, "records: too many records to keep; dropping one";
                "key" => &*record.key
            );
        }
    }

    /// Logs the limits that endpoints state from now on, and those that have ended.
    fn log_rate_changes(&mut self) {
        for change in self.state.take_rate_changes() {
            let (endpoint, is_own) = (&*change.endpoint, change.is_own);
            if change.is_unreadable {
                warn!(
                    self.logger, "control: endpoint states an unreadable rate limit; using a default";
                    "endpoint" => endpoint, "per_s" => change.per_second, "is_own" => is_own
                );
                continue;
            }
            let event = match change.per_second {
                Some(_) => "endpoint limits its request rate",
                None => "endpoint limits its request rate no more",
            };
            info!(
                self.logger, "control: {}", event;
                "endpoint" => endpoint, "per_s" => change.per_second, "is_own" => is_own,
                "nodes" => self.state.fleet().node_count()
            );
        }
    }

    /// Logs the endpoints that leave or ask for a backoff.
    fn log_endpoint_notices(&mut self) {
        for endpoint in self.state.take_leaving_notices() {
            info!(
                self.logger, "control: endpoint says that it leaves; sending it nothing new";
                "endpoint" => &*endpoint
            );
        }
        for change in self.state.take_backoff_changes() {
            let event = match change.is_unreadable {
                true => "endpoint asks for an unreadable backoff; using a default",
                false => "endpoint asks for a backoff",
            };
            warn!(
                self.logger, "control: {}", event;
                "endpoint" => &*change.endpoint, "backoff_ms" => millis(change.length),
                "relayed_by" => change.relayed_by.as_deref()
            );
        }
    }

    /// Logs whether endpoints can be reached, and asks the traffic threads for evidence.
    fn publish_path_health(&mut self) {
        for change in self.state.take_path_changes() {
            let event = match change.is_cut_off {
                true => "no endpoint can be reached from this node",
                false => "endpoints can be reached from this node again",
            };
            warn!(
                self.logger, "control: {}", event;
                "service" => &*change.service, "endpoints" => change.endpoints,
                "after_ms" => millis(change.after)
            );
        }
        let is_suspect = self.state.fleet().is_path_suspect(self.clock.now());
        self.shared.set_path_suspect(is_suspect);
    }

    /// Logs what is kept although the key-value service lacks it, and what is not any more.
    fn log_hold_notices(&mut self) {
        for notice in self.state.take_hold_notices() {
            match notice {
                HoldNotice::Compared { held_evacuations, ignored_registrations } => info!(
                    self.logger, "control: restored content compared; keeping what is newer";
                    "held_evacuations" => held_evacuations,
                    "ignored_registrations" => ignored_registrations
                ),
                HoldNotice::EvacuationEnded(centre) => warn!(
                    self.logger,
                    "control: evacuation was not written again; using the data centre";
                    "data_centre" => %centre
                ),
            }
        }
    }

    /// Logs the endpoints that are kept without a record after an outage, and those that are not back.
    fn log_missing_notices(&mut self) {
        for notice in self.state.take_missing_notices() {
            match notice {
                MissingNotice::Kept(endpoint) => info!(
                    self.logger,
                    "control: record may have expired in the outage; keeping the endpoint";
                    "endpoint" => &*endpoint
                ),
                MissingNotice::NotBack(endpoint) => info!(
                    self.logger, "control: endpoint has not announced itself again; removing it";
                    "endpoint" => &*endpoint
                ),
            }
        }
    }

    /// Records the load of the loop, and logs an interval in which the thread was overloaded.
    fn record_load(&mut self, kind: InputKind, woken: MonotonicTime) {
        let Some(report) = self.load.record(kind, woken, self.clock.now()) else {
            return;
        };
        warn!(
            self.logger, "control: thread overloaded; placements and changes are delayed";
            "busy_ms" => millis(report.busy), "interval_ms" => millis(report.length),
            "commands" => report.commands, "datagrams" => report.datagrams,
            "waiting" => self.state.waiting_count()
        );
    }

    /// Handles commands; if one of them stops the thread, returns the sender to notify at its end.
    fn handle_batch(&mut self, batch: &mut Vec<ControlCommand>) -> Option<oneshot::Sender<()>> {
        for command in batch.drain(..) {
            match command {
                ControlCommand::Stop { done } => return Some(done),
                ControlCommand::RequestBegan { account, began } => {
                    self.count_request(&account, began);
                },
                command => self.state.handle_command(command, self.clock.now()),
            }
        }
        None
    }

    async fn withdraw(&mut self) {
        self.peers.send_last_counts(&self.state, self.clock.now());
        self.announcer_signals.stop.notify_one();
        if tokio::time::timeout(WITHDRAW_TIMEOUT, &mut self.announcer_task).await.is_err() {
            warn!(
                self.logger, "registry: cannot withdraw the node; its lease will expire";
                "error" => "no answer in time"
            );
        }
    }
}

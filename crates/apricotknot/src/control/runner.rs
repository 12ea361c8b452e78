//! Event loop of the control thread: passes inputs to the control state and executes its effects.

use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::membership::ClusterAction;
use apricotknot_core::membership::ClusterState;
use apricotknot_core::membership::MemberSettings;
use apricotknot_core::membership::MemberState;
use apricotknot_core::membership::next_fencing;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::EpochNumber;
use apricotknot_core::types::IncarnationNumber;
use apricotknot_gateway::clock::start_incarnation;
use apricotknot_wire::auth::KeyError;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle as TaskHandle;

use super::ConfigView;
use super::ControlCommand;
use super::ControlContext;
use super::FleetStatus;
use super::cluster_store::ClusterStore;
use super::exit_check::check_exit;
use super::input::PeerInput;
use super::load::EngineAnswer;
use super::load::LoadTarget;
use super::peer_handler::InputHandler;
use super::placement::FleetPlacement;
use super::placement::PoolPlacement;
use super::state::ControlState;
use crate::engine::HttpEngineClient;
use crate::peers::KeyRing;
use crate::peers::PeerOptions;
use crate::peers::PeerService;
use crate::peers::SharedKey;
use crate::peers::batch_of;
use crate::peers::records_of;
use crate::peers::updates_of;
use crate::plain::KeyValueLedgerStore;
use crate::plain::LedgerCommand;
use crate::plain::LedgerTask;
use crate::store::BudgetedStore;
use crate::store::EtcdStore;
use crate::store::FeedEvent;
use crate::store::FeedTiming;
use crate::store::ResourceFeed;

/// Longest time that the loop waits for input before it ticks the control state.
const MAX_IDLE: Duration = Duration::from_millis(250);

/// Time between two publications of the fleet status.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of configuration changes that wait to be applied.
const FEED_CAPACITY: usize = 64;

/// Maximum number of commands handled before other inputs and the clock are checked again.
const MAX_COMMAND_BATCH: usize = 256;

/// Maximum number of nodes that hold shares of the budgets of one pool's endpoints.
const MAX_SHARE_HOLDERS: usize = 8;

/// Client of the key-value service that keeps to the node's call budget.
pub(super) type ControlStore = BudgetedStore<EtcdStore>;

/// Holds the control thread's ends of the channels to the traffic threads.
pub(super) struct ControlChannels {
    pub(super) commands: mpsc::UnboundedReceiver<ControlCommand>,
    pub(super) view: watch::Sender<Arc<ConfigView>>,
    pub(super) status: watch::Sender<Arc<FleetStatus>>,
}

/// Runs the control state and performs its input and output.
pub(super) struct ControlRunner {
    pub(super) context: ControlContext,
    pub(super) state: ControlState,
    pub(super) engine: HttpEngineClient,
    pub(super) peers: Rc<PeerService<InputHandler>>,
    pub(super) cluster_store: Rc<ClusterStore<ControlStore>>,
    pub(super) engine_sender: mpsc::UnboundedSender<EngineAnswer>,
    pub(super) input_sender: mpsc::UnboundedSender<PeerInput>,
    pub(super) pollers: HashMap<EndpointId, (LoadTarget, TaskHandle<()>)>,
    pub(super) grant_calls: HashMap<AttemptId, TaskHandle<()>>,
    commands: mpsc::UnboundedReceiver<ControlCommand>,
    engine_answers: mpsc::UnboundedReceiver<EngineAnswer>,
    inputs: mpsc::UnboundedReceiver<PeerInput>,
    status: watch::Sender<Arc<FleetStatus>>,
    published_at: Duration,
    stored_epoch: Rc<std::cell::Cell<StoredEpoch>>,
}

/// Holds what this incarnation of the node has read of the member list.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoredEpoch {
    pub(super) epoch: EpochNumber,
    pub(super) was_read: bool,
    pub(super) is_first_incarnation: bool,
}

impl ControlRunner {
    /// Starts the service for peers and the ledger of non-repeatable calls.
    pub(super) async fn start(
        context: ControlContext,
        channels: ControlChannels,
        ledger: mpsc::UnboundedReceiver<LedgerCommand>,
    ) -> io::Result<Self> {
        let (engine_sender, engine_answers) = mpsc::unbounded_channel();
        let (input_sender, inputs) = mpsc::unbounded_channel();
        let incarnation = start_incarnation();
        let handler = Rc::new(InputHandler::new(input_sender.clone()));
        let options = peer_options(&context, incarnation).map_err(io::Error::other)?;
        let peers = PeerService::start(options, handler).await.map_err(io::Error::other)?;
        info!(context.logger, "control: listening for peers"; "address" => %peers.address());
        let cluster_store = ClusterStore::new(open_store(&context), context.node.clone());
        let now = context.clock.now();
        let state = ControlState::new(context.node.clone(), incarnation, channels.view, now);
        let runner = Self {
            state,
            engine: HttpEngineClient::new(),
            peers: Rc::new(peers),
            cluster_store: Rc::new(cluster_store),
            engine_sender,
            input_sender,
            pollers: HashMap::new(),
            grant_calls: HashMap::new(),
            commands: channels.commands,
            engine_answers,
            inputs,
            status: channels.status,
            published_at: Duration::ZERO,
            stored_epoch: Rc::default(),
            context,
        };
        runner.start_ledger(ledger);
        Ok(runner)
    }

    /// Runs until [`ControlCommand::Stop`] arrives or all handles are dropped.
    pub(super) async fn run(mut self) {
        let mut feed = self.start_feed();
        let mut batch = Vec::with_capacity(MAX_COMMAND_BATCH);
        loop {
            let idle = self.idle_time();
            tokio::select! {
                count = self.commands.recv_many(&mut batch, MAX_COMMAND_BATCH) => {
                    if count == 0 || self.handle_commands(&mut batch) {
                        break;
                    }
                },
                Some(answer) = self.engine_answers.recv() => {
                    self.refresh_may_act();
                    self.state.handle_engine_answer(answer, self.context.clock.now());
                },
                Some(input) = self.inputs.recv() => self.handle_input(input),
                Some(event) = feed.recv() => self.handle_feed(event, &mut feed),
                () = tokio::time::sleep(idle) => self.tick(),
            }
            self.execute_effects();
        }
        self.peers.command(|cluster, _| cluster.leave());
        // The messages about leaving need time to be sent before the process exits.
        tokio::time::sleep(MAX_IDLE).await;
        for (_, task) in self.pollers.into_values() {
            task.abort();
        }
    }

    fn start_ledger(&self, commands: mpsc::UnboundedReceiver<LedgerCommand>) {
        let store = EtcdStore::new(self.context.store.addresses.iter().map(ToString::to_string))
            .timeout(self.context.store.timeout);
        let store = KeyValueLedgerStore::new(store);
        let (policy, clock) = (self.context.ledger, self.context.clock);
        let metrics = self.context.metrics.clone();
        let task = LedgerTask::new(policy, store, clock, metrics, commands);
        actix_rt::spawn(task.run());
    }

    fn start_feed(&self) -> mpsc::Receiver<FeedEvent> {
        let (sender, receiver) = mpsc::channel(FEED_CAPACITY);
        let feed = ResourceFeed::new(open_store(&self.context), FeedTiming::default(), sender);
        actix_rt::spawn(feed.run());
        receiver
    }

    fn idle_time(&self) -> Duration {
        let now = self.context.clock.now();
        let wakeup = self.state.next_wakeup().map(|wakeup| wakeup.saturating_sub(now));
        wakeup.unwrap_or(MAX_IDLE).min(MAX_IDLE)
    }

    fn tick(&mut self) {
        self.refresh_placement();
        self.state.tick(self.context.clock.now());
        self.publish_status();
    }

    fn handle_commands(&mut self, batch: &mut Vec<ControlCommand>) -> bool {
        self.refresh_may_act();
        for command in batch.drain(..) {
            if matches!(command, ControlCommand::Stop) {
                return true;
            }
            self.state.handle(command, self.context.clock.now());
        }
        false
    }

    fn handle_input(&mut self, input: PeerInput) {
        self.refresh_may_act();
        let now = self.context.clock.now();
        match input {
            PeerInput::Cluster(action) => self.handle_cluster_action(action),
            PeerInput::GrantRequested { request, reply } => {
                self.state.submit_for_peer(*request, reply, now);
            },
            PeerInput::GrantAnswered { owner, request, result } => {
                self.grant_calls.remove(&request.submission.attempt);
                self.state.handle_answer(&owner, *request, result, now);
            },
            PeerInput::Reports(reports) => self.state.apply_reports(reports, now),
            PeerInput::ReportsSent { owner, unconfirmed } => {
                self.state.finish_reports(&owner, unconfirmed);
            },
            PeerInput::MemberStopped { node, incarnation, seen_at } => {
                self.state.record_exit(&node, incarnation, seen_at);
            },
            PeerInput::SuspectsRead(records) => self.state.merge_suspects(records, now),
            PeerInput::ShareMessages { from, messages } => {
                self.state.handle_shares(&from, messages, now);
            },
        }
    }

    fn handle_cluster_action(&mut self, action: ClusterAction) {
        match action {
            ClusterAction::List(action) => self.execute_list_action(action),
            ClusterAction::Lease(action) => self.execute_lease_action(action),
            ClusterAction::Apply { records, revision } => {
                let batch = updates_of(&records, revision);
                self.apply_configuration(ControlCommand::Configure(batch), revision);
            },
            ClusterAction::MemberChanged { update, .. } => {
                info!(
                    self.context.logger, "control: state of a member changed";
                    "member" => %update.node, "state" => ?update.state
                );
                if update.state == MemberState::Left && update.node != self.context.node {
                    self.state.remove_node(&update.node, self.context.clock.now());
                    let (clock, inputs) = (self.context.clock, self.input_sender.clone());
                    actix_rt::spawn(check_exit(update, clock, inputs));
                }
            },
            ClusterAction::ListAdopted { list } => {
                info!(
                    self.context.logger, "control: using a new member list";
                    "epoch" => list.epoch, "members" => list.members.len()
                );
            },
            ClusterAction::Resumed { paused } => {
                warn!(self.context.logger, "control: node was paused"; "for" => ?paused);
            },
            ClusterAction::Refuted { .. } | ClusterAction::Confirmed => {},
            ClusterAction::Drain { notice } => {
                info!(
                    self.context.logger, "control: applying an announced duty";
                    "name" => %notice.name, "out" => notice.out
                );
                self.state.apply_notice(&notice, self.context.clock.now());
            },
            ClusterAction::Probe { .. }
            | ClusterAction::PullMembers { .. }
            | ClusterAction::PullConfiguration { .. } => {},
        }
        self.refresh_placement();
    }

    fn apply_configuration(&mut self, command: ControlCommand, revision: u64) {
        self.state.handle(command, self.context.clock.now());
        self.context.metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        info!(self.context.logger, "control: configuration in force"; "revision" => revision);
    }

    fn handle_feed(&mut self, event: FeedEvent, feed: &mut mpsc::Receiver<FeedEvent>) {
        match event {
            FeedEvent::Updated(batch) => {
                let Ok(records) = records_of(&batch) else {
                    return;
                };
                let revision = batch.revision;
                let is_complete = batch.base.is_none();
                let mut is_stale = false;
                self.peers.command(|cluster, _| {
                    let result = match is_complete {
                        true => cluster.load_configuration(revision, &records),
                        false => cluster.apply_writes(&batch_of(&batch, records)),
                    };
                    is_stale = result.is_err();
                    result.unwrap_or_default()
                });
                if is_stale && !is_complete {
                    *feed = self.start_feed();
                }
            },
            FeedEvent::Interrupted(error) => {
                warn!(
                    self.context.logger, "control: cannot read the key-value service; retrying";
                    "error" => %error
                );
            },
            FeedEvent::Skipped { key, revision, reason } => {
                warn!(
                    self.context.logger,
                    "control: cannot read a stored resource; keeping its last valid version";
                    "key" => key, "revision" => revision, "reason" => reason
                );
            },
        }
    }

    fn refresh_may_act(&mut self) {
        self.state.set_may_act(self.peers.may_act());
    }

    fn refresh_placement(&mut self) {
        self.refresh_may_act();
        let pools = self.state.pool_names();
        let stored = self.stored_epoch.get();
        let placement = self.peers.query(|cluster, _| {
            let epoch = cluster.member_list().epoch;
            let placement_of = |pool| {
                let owner = cluster.owner_of(&pool).cloned();
                let holders = cluster.holders_of(&pool, MAX_SHARE_HOLDERS);
                (pool, PoolPlacement { owner, holders })
            };
            FleetPlacement {
                epoch,
                nodes: listed_nodes(cluster),
                fencing: next_fencing(epoch, 0),
                stored_epoch: stored.epoch,
                is_first_incarnation: stored.is_first_incarnation,
                pools: pools.into_iter().map(placement_of).collect(),
            }
        });
        self.state.set_placement(placement, self.context.clock.now());
    }

    /// Returns the shared record of the newest epoch in the key-value service.
    pub(super) fn stored_epoch(&self) -> Rc<std::cell::Cell<StoredEpoch>> {
        Rc::clone(&self.stored_epoch)
    }

    fn publish_status(&mut self) {
        let now = self.context.clock.now();
        if now < self.published_at + STATUS_INTERVAL && self.published_at > Duration::ZERO {
            return;
        }
        self.published_at = now;
        let duty_notices = self.state.duty_notices().clone();
        let status = self.peers.query(|cluster, now| FleetStatus {
            duty_notices,
            epoch: cluster.member_list().epoch,
            may_act: cluster.may_act(now),
            members: cluster.table().members().cloned().collect(),
            coverage: Some(cluster.coverage()),
        });
        if **self.status.borrow() != status {
            self.status.send_replace(Arc::new(status));
        }
    }
}

fn listed_nodes(cluster: &ClusterState) -> Vec<apricotknot_core::types::NodeId> {
    cluster.member_list().members.iter().map(|member| member.node.clone()).collect()
}

fn open_store(context: &ControlContext) -> ControlStore {
    let store = EtcdStore::new(context.store.addresses.iter().map(ToString::to_string))
        .timeout(context.store.timeout);
    BudgetedStore::new(store, context.store_budget.clone())
}

fn peer_options(
    context: &ControlContext,
    incarnation: IncarnationNumber,
) -> Result<PeerOptions, KeyError> {
    let mut ring = KeyRing::new(SharedKey::new(context.peers.key.bytes())?);
    if let Some(previous) = &context.peers.previous_key {
        ring = ring.previous(SharedKey::new(previous.bytes())?);
    }
    let seeds: Vec<_> = context.peers.known_peers.iter().map(|peer| peer.address).collect();
    let mut members = MemberSettings::default();
    if seeds.is_empty() {
        // Without seeds there is no peer to join, so the node need not wait for one.
        members = members.join_timeout(Duration::ZERO);
    }
    let options = PeerOptions::new(context.node.clone(), context.peers.listen, ring)
        .data_centre(context.data_centre.clone())
        .incarnation(incarnation)
        .seeds(seeds)
        .members(members)
        .clock(context.clock);
    Ok(options)
}

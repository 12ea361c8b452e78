//! Task that runs the ledger of a node on its control thread.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use apricotknot_core::ledger::CallId;
use apricotknot_core::ledger::IdempotencyLedger;
use apricotknot_core::ledger::IoNumber;
use apricotknot_core::ledger::LedgerAction;
use apricotknot_core::ledger::LedgerCounts;
use apricotknot_core::ledger::LedgerEvent;
use apricotknot_core::ledger::LedgerPolicy;
use apricotknot_core::ledger::LedgerTime;
use apricotknot_core::ledger::ShardIndex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::LedgerCommand;
use super::LedgerDecision;
use super::LedgerStore;
use super::ShardContent;
use super::ShardWriteOutcome;
use crate::control::NodeClock;
use crate::store::StoreError;
use crate::store::WriteCertainty;
use crate::telemetry::LedgerLabels;
use crate::telemetry::NodeMetrics;

/// Longest time between two ticks of the ledger.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the time of the node's monotonic clock and of its wall clock.
pub(super) fn ledger_time(clock: &NodeClock) -> LedgerTime {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    LedgerTime { monotonic: clock.now(), wall }
}

/// Feeds commands and events to the ledger and performs its actions.
#[derive(Debug)]
pub struct LedgerTask<S> {
    ledger: IdempotencyLedger,
    store: S,
    clock: NodeClock,
    metrics: Arc<NodeMetrics>,
    /// Counts that the metrics already contain.
    reported_counts: LedgerCounts,
    commands: mpsc::UnboundedReceiver<LedgerCommand>,
    event_sender: mpsc::UnboundedSender<LedgerEvent>,
    events: mpsc::UnboundedReceiver<LedgerEvent>,
    pending_decisions: HashMap<CallId, oneshot::Sender<LedgerDecision>>,
    /// Channels that receive a message once no writes are pending.
    drain_waiters: Vec<oneshot::Sender<()>>,
}

impl<S: LedgerStore> LedgerTask<S> {
    /// Creates the task, which receives its commands from `commands`.
    pub fn new(
        policy: LedgerPolicy,
        store: S,
        clock: NodeClock,
        metrics: Arc<NodeMetrics>,
        commands: mpsc::UnboundedReceiver<LedgerCommand>,
    ) -> Self {
        let (event_sender, events) = mpsc::unbounded_channel();
        Self {
            ledger: IdempotencyLedger::new(policy),
            store,
            clock,
            metrics,
            reported_counts: LedgerCounts::default(),
            commands,
            event_sender,
            events,
            pending_decisions: HashMap::new(),
            drain_waiters: Vec::new(),
        }
    }

    /// Runs until all handles have been dropped.
    pub async fn run(mut self) {
        loop {
            let tick_delay = self.tick_delay();
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                Some(event) = self.events.recv() => self.feed(event),
                () = tokio::time::sleep(tick_delay) => self.feed(LedgerEvent::Tick),
            }
            self.report_counts();
            if self.ledger.pending_updates() == 0 {
                for drained in self.drain_waiters.drain(..) {
                    let _ = drained.send(());
                }
            }
        }
    }

    /// Returns the time until the next tick.
    fn tick_delay(&self) -> Duration {
        let now = self.clock.now();
        let wake = self.ledger.next_wake().map(|wake| wake.saturating_sub(now));
        wake.unwrap_or(MAX_TICK_INTERVAL).min(MAX_TICK_INTERVAL)
    }

    /// Adds the counts since the last report to the metrics.
    fn report_counts(&mut self) {
        let (now, reported_counts) = (self.ledger.counts(), self.reported_counts);
        let changes = [
            ("read", now.reads - reported_counts.reads),
            ("write", now.swaps - reported_counts.swaps),
            ("conflict", now.conflicts - reported_counts.conflicts),
            ("record", now.written - reported_counts.written),
        ];
        for (kind, change) in changes.into_iter().filter(|(_, change)| *change > 0) {
            self.metrics.ledger.get_or_create(&LedgerLabels { kind }).inc_by(change);
        }
        self.reported_counts = now;
        let pending = i64::try_from(self.ledger.pending()).unwrap_or(i64::MAX);
        self.metrics.ledger_pending.set(pending);
    }

    fn handle_command(&mut self, command: LedgerCommand) {
        match command {
            LedgerCommand::Begin(event, call, reply) => {
                self.pending_decisions.insert(call, reply);
                self.feed(event);
            },
            LedgerCommand::Report(event) => {
                if let LedgerEvent::NotRun { call } = event {
                    self.pending_decisions.remove(&call);
                }
                self.feed(event);
            },
            LedgerCommand::Drain(reply) => self.drain_waiters.push(reply),
        }
    }

    fn feed(&mut self, event: LedgerEvent) {
        let time = ledger_time(&self.clock);
        for action in self.ledger.handle(event, time) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: LedgerAction) {
        match action {
            LedgerAction::ReadShard { shard, io } => {
                actix_rt::spawn(read_shard(
                    self.store.clone(),
                    shard,
                    io,
                    self.event_sender.clone(),
                ));
            },
            LedgerAction::SwapShard { shard, io, expected, value } => {
                let (store, events) = (self.store.clone(), self.event_sender.clone());
                actix_rt::spawn(async move {
                    let written = store.write(shard, expected, value).await;
                    let _ = events.send(write_event(shard, io, written));
                });
            },
            LedgerAction::Permit { call, permit } => {
                self.send_decision(call, LedgerDecision::Permit(permit));
            },
            LedgerAction::Refuse { call, error } => {
                self.send_decision(call, LedgerDecision::Refuse(error));
            },
            LedgerAction::Replay { call, answer } => {
                self.send_decision(call, LedgerDecision::Replay(answer));
            },
        }
    }

    fn send_decision(&mut self, call: CallId, decision: LedgerDecision) {
        // If the caller has disconnected, dropping its `LedgerCall` reports this to the ledger.
        if let Some(reply) = self.pending_decisions.remove(&call) {
            let _ = reply.send(decision);
        }
    }
}

async fn read_shard<S: LedgerStore>(
    store: S,
    shard: ShardIndex,
    io: IoNumber,
    events: mpsc::UnboundedSender<LedgerEvent>,
) {
    let event = match store.read(shard).await {
        Ok(ShardContent { revision, value }) => {
            LedgerEvent::ShardRead { shard, io, revision, value }
        },
        Err(_) => LedgerEvent::StoreDown { shard, io },
    };
    let _ = events.send(event);
}

fn write_event(
    shard: ShardIndex,
    io: IoNumber,
    written: Result<ShardWriteOutcome, StoreError>,
) -> LedgerEvent {
    match written {
        Ok(ShardWriteOutcome::Written { revision }) => {
            LedgerEvent::SwapSucceeded { shard, io, revision }
        },
        Ok(ShardWriteOutcome::Conflict(ShardContent { revision, value })) => {
            LedgerEvent::SwapFailed { shard, io, revision, value }
        },
        Err(error) if error.certainty() == WriteCertainty::NotWritten => {
            LedgerEvent::StoreDown { shard, io }
        },
        Err(_) => LedgerEvent::SwapUnknown { shard, io },
    }
}

//! Shares the memory and connections of one interface between its clients.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use apricotknot_core::intake::IntakeId;
use apricotknot_core::intake::IntakeLimits;
use apricotknot_core::intake::IntakeRefusal;
use apricotknot_core::intake::IntakeTable;
use apricotknot_core::types::MonotonicTime;
use futures::task::AtomicWaker;
use slog::Logger;
use slog::warn;
use tokio::sync::Notify;

use super::IntakeConnection;
use super::IntakeMetrics;
use crate::clock::BootClock;

/// Longest time between two looks whether a connection may be accepted.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without room for a connection after which clients had better go elsewhere.
const MAX_FULL_TIME: Duration = Duration::from_millis(500);

/// Shortest time between two lines of the log.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Tells a connection that it has to give way.
#[derive(Debug, Default)]
pub(super) struct GiveWaySignal {
    pub(super) is_given: AtomicBool,
    pub(super) waker: AtomicWaker,
}

/// What has happened since the last line of the log.
#[derive(Debug, Default)]
struct UnreportedCounts {
    /// Connections that gave way.
    gave_way: u64,
    /// Requests that were refused.
    refused: u64,
}

#[derive(Debug)]
pub(super) struct IntakeState {
    pub(super) table: IntakeTable,
    signals: HashMap<IntakeId, Arc<GiveWaySignal>>,
    /// Time since which there is no room for a connection, and none gives way.
    full_since: Option<MonotonicTime>,
    reported_at: Option<MonotonicTime>,
    unreported: UnreportedCounts,
}

/// Decides what the clients of one interface may occupy; shared by its connections.
#[derive(Debug)]
pub struct IntakeControl {
    interface: &'static str,
    state: Mutex<IntakeState>,
    closed: Notify,
    clock: BootClock,
    metrics: IntakeMetrics,
    logger: Logger,
}

impl IntakeControl {
    /// Creates the control of the interface that log lines call `interface`.
    pub fn new(
        interface: &'static str,
        limits: IntakeLimits,
        metrics: IntakeMetrics,
        logger: Logger,
    ) -> Arc<Self> {
        let state = IntakeState {
            table: IntakeTable::new(limits),
            signals: HashMap::new(),
            full_since: None,
            reported_at: None,
            unreported: UnreportedCounts::default(),
        };
        let (state, closed, clock) = (Mutex::new(state), Notify::new(), BootClock);
        Arc::new(Self { interface, state, closed, clock, metrics, logger })
    }

    /// Waits until another connection may be accepted; stalled ones give way to it.
    pub async fn room(&self) {
        while !self.make_room() {
            let _ = tokio::time::timeout(ROOM_POLL_INTERVAL, self.closed.notified()).await;
        }
    }

    /// Adds an accepted connection.
    pub fn open(self: &Arc<Self>) -> IntakeConnection {
        self.add(|table, now| table.open(now))
    }

    /// Adds a request that goes on beside the connection `id`, and takes over what that holds.
    pub(super) fn split_off(self: &Arc<Self>, id: IntakeId) -> IntakeConnection {
        self.add(|table, now| table.split_off(id, now))
    }

    fn add(
        self: &Arc<Self>,
        open: impl FnOnce(&mut IntakeTable, MonotonicTime) -> IntakeId,
    ) -> IntakeConnection {
        let signal = Arc::new(GiveWaySignal::default());
        let mut state = self.state();
        let id = open(&mut state.table, self.clock.now());
        state.signals.insert(id, Arc::clone(&signal));
        drop(state);
        IntakeConnection::new(Arc::clone(self), id, signal)
    }

    /// Lets stalled connections give way if there is no room; returns whether there is room.
    pub fn make_room(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        let victim = state.table.make_room(now);
        self.dismiss(&mut state, victim.as_slice(), now);
        let has_room = state.table.has_room();
        state.full_since = (!has_room).then(|| state.full_since.unwrap_or(now));
        has_room
    }

    /// Returns whether no connection could be accepted for so long that others had better go elsewhere.
    pub fn is_full(&self) -> bool {
        let state = self.state();
        // Connections that left since did not make the table look for room.
        let full_since = state.full_since.filter(|_| !state.table.has_room());
        full_since.is_some_and(|since| self.clock.now() >= since + MAX_FULL_TIME)
    }

    pub(super) fn grow(&self, id: IntakeId, held: usize) -> Result<(), IntakeRefusal> {
        let now = self.clock.now();
        let mut state = self.state();
        let grown = state.table.grow(id, held, now);
        let victims = grown.inspect_err(|_| {
            self.metrics.refused.inc();
            state.unreported.refused += 1;
            self.report(&mut state, now);
        })?;
        self.dismiss(&mut state, &victims, now);
        Ok(())
    }

    pub(super) fn update<T>(&self, change: impl FnOnce(&mut IntakeTable, MonotonicTime) -> T) -> T {
        change(&mut self.state().table, self.clock.now())
    }

    pub(super) fn close(&self, id: IntakeId) {
        let mut state = self.state();
        state.table.close(id);
        state.signals.remove(&id);
        drop(state);
        self.closed.notify_one();
    }

    fn dismiss(&self, state: &mut IntakeState, victims: &[IntakeId], now: MonotonicTime) {
        for victim in victims {
            if let Some(signal) = state.signals.get(victim) {
                signal.is_given.store(true, Ordering::Release);
                signal.waker.wake();
            }
            self.metrics.gave_way.inc();
            state.unreported.gave_way += 1;
        }
        if !victims.is_empty() {
            self.report(state, now);
        }
    }

    /// Logs what has happened since the last line, unless that is recent.
    fn report(&self, state: &mut IntakeState, now: MonotonicTime) {
        if state.reported_at.is_some_and(|reported| now < reported + REPORT_INTERVAL) {
            return;
        }
        let UnreportedCounts { gave_way, refused } = std::mem::take(&mut state.unreported);
        state.reported_at = Some(now);
        warn!(
            self.logger, "intake: clients occupy too much; closing stalled ones";
            "interface" => self.interface, "gave_way" => gave_way, "refused" => refused,
            "connections" => state.table.connections(), "bytes" => state.table.used()
        );
    }

    fn state(&self) -> MutexGuard<'_, IntakeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

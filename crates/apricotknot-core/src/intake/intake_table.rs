//! Connections of clients with what each holds and how it gets on.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;

use super::IntakeLimits;
use crate::types::MonotonicTime;

/// Part of the connections that may be about to close beside those in use.
const CLOSING_DIVISOR: usize = 8;

/// Identifies a connection within its table.
pub type IntakeId = u64;

/// Reports that a request gets no memory; it has not run.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum IntakeRefusal {
    /// All memory is held by requests that get on, or that run.
    #[error("requests hold {used} of {limit} bytes, and none of them is stalled")]
    Spent {
        /// Bytes in use.
        used: usize,
        /// Bytes that requests may hold together.
        limit: usize,
    },
    /// The connection has to give way to others.
    #[error("the connection gives way to others")]
    GaveWay,
}

/// What a connection is occupied with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum IntakePhase {
    /// Waits for the client to send a request, or the rest of one.
    Receiving,
    /// Its request waits for an endpoint.
    Queued {
        /// Size of the request; larger ones give way first.
        size: u64,
        /// When it began to wait.
        since: MonotonicTime,
    },
    /// Runs a request or sends its answer; it keeps what it holds.
    Serving,
    /// Has been told to give way, and is about to close.
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct IntakeEntry {
    phase: IntakePhase,
    held: usize,
    /// Whether the connection has carried a whole request.
    has_served: bool,
    /// Bytes that arrived since `progressed_at`.
    arrived: usize,
    /// When the client had last made sufficient progress.
    progressed_at: MonotonicTime,
}

impl IntakeEntry {
    fn new(now: MonotonicTime) -> Self {
        let phase = IntakePhase::Receiving;
        Self { phase, held: 0, has_served: false, arrived: 0, progressed_at: now }
    }

    fn restart(&mut self, now: MonotonicTime) {
        self.arrived = 0;
        self.progressed_at = now;
    }

    /// Returns for how long the client has not made sufficient progress, or `None` if nothing is
    /// expected of it.
    fn stalled_time(&self, now: MonotonicTime) -> Option<Duration> {
        let is_awaited = self.phase == IntakePhase::Receiving;
        is_awaited.then(|| now.saturating_sub(self.progressed_at))
    }
}

/// Connections of the clients of one interface.
#[derive(Debug)]
pub struct IntakeTable {
    limits: IntakeLimits,
    entries: BTreeMap<IntakeId, IntakeEntry>,
    next_id: IntakeId,
    used: usize,
    /// Number of connections that are about to close.
    closing: usize,
}

impl IntakeTable {
    /// Creates a table without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Self { limits, entries: BTreeMap::new(), next_id: 0, used: 0, closing: 0 }
    }

    /// Adds a connection, whether there is room or not.
    pub fn open(&mut self, now: MonotonicTime) -> IntakeId {
        let id = self.next_id;
        self.next_id += 1;
        self.entries.insert(id, IntakeEntry::new(now));
        id
    }

    /// Makes room for a connection; returns one that has to close for it, if there is one.
    ///
    /// The client that has been stalled longest gives way, before all one that has sent no whole
    /// request yet. If none is stalled, a request that waits for an endpoint does: the largest one, and
    /// of equal ones the one that came last, which would be served last.
    pub fn make_room(&mut self, now: MonotonicTime) -> Option<IntakeId> {
        if self.remaining() < self.limits.connections || self.entries.len() >= self.most_open() {
            return None;
        }
        let stalled = self.stalled(now);
        let stalled =
            stalled.max_by_key(|(id, entry, time)| (!entry.has_served, *time, Reverse(*id)));
        let id = stalled.map(|(id, _, _)| id).or_else(|| self.last_queued(now))?;
        self.dismiss(id);
        Some(id)
    }

    /// Grows what a request holds to `held` bytes; returns the connections that have to close for
    /// it.
    ///
    /// Stalled clients give way, and first the one that has held most for longest.
    ///
    /// # Errors
    ///
    /// Returns why the request gets no more memory; it keeps what it holds until it ends.
    pub fn grow(
        &mut self,
        id: IntakeId,
        held: usize,
        now: MonotonicTime,
    ) -> Result<Vec<IntakeId>, IntakeRefusal> {
        let entry = self.entries.get(&id).filter(|entry| entry.phase != IntakePhase::Closing);
        let entry = entry.ok_or(IntakeRefusal::GaveWay)?;
        let needed = held.saturating_sub(entry.held);
        // A single request is always received, as large as it may be.
        let limit = if self.used == entry.held { held } else { self.limits.memory_for(held) };
        let victims = self.victims_for(id, (self.used + needed).saturating_sub(limit), now);
        let victims = victims.ok_or(IntakeRefusal::Spent { used: self.used, limit })?;
        for victim in &victims {
            self.dismiss(*victim);
        }
        self.used += needed;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.held += needed;
        }
        Ok(victims)
    }

    /// Records that `bytes` bytes of a request have arrived.
    pub fn record(&mut self, id: IntakeId, bytes: usize, now: MonotonicTime) {
        let least = self.limits.least_progress;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.arrived = entry.arrived.saturating_add(bytes);
            if entry.arrived >= least {
                entry.restart(now);
            }
        }
    }

    /// Records that a request begins to arrive.
    pub fn begin(&mut self, id: IntakeId, now: MonotonicTime) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.restart(now);
        }
    }

    /// Records that a request of the given size waits for an endpoint from `now` on.
    ///
    /// It may have to give way until [`IntakeTable::serve`] is called for it.
    pub fn queue(&mut self, id: IntakeId, size: u64, now: MonotonicTime) {
        let serving = self.entries.get_mut(&id).filter(|entry| entry.phase == IntakePhase::Serving);
        if let Some(entry) = serving {
            entry.phase = IntakePhase::Queued { size, since: now };
        }
    }

    /// Records that a request has arrived, and is about to run; returns whether it may.
    pub fn serve(&mut self, id: IntakeId) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        if entry.phase == IntakePhase::Closing {
            return false;
        }
        (entry.phase, entry.has_served) = (IntakePhase::Serving, true);
        true
    }

    /// Adds an entry for a request that goes on beside its connection; it takes over what that holds.
    pub fn split_off(&mut self, id: IntakeId, now: MonotonicTime) -> IntakeId {
        let other = self.open(now);
        self.serve(other);
        let held = self.entries.get_mut(&id).map(|entry| std::mem::take(&mut entry.held));
        if let Some(entry) = self.entries.get_mut(&other) {
            entry.held = held.unwrap_or_default();
        }
        other
    }

    /// Records that a request has ended, and gives back what it held.
    pub fn finish(&mut self, id: IntakeId, now: MonotonicTime) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        self.used -= std::mem::take(&mut entry.held);
        entry.restart(now);
        if entry.phase != IntakePhase::Closing {
            entry.phase = IntakePhase::Receiving;
        }
    }

    /// Removes a connection that has closed, with all it holds.
    pub fn close(&mut self, id: IntakeId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.used -= entry.held;
            self.closing -= usize::from(entry.phase == IntakePhase::Closing);
        }
    }

    /// Gives back what a connection holds, as it is about to close.
    fn dismiss(&mut self, id: IntakeId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            self.used -= std::mem::take(&mut entry.held);
            entry.phase = IntakePhase::Closing;
            self.closing += 1;
        }
    }
}

impl IntakeTable {
    /// Returns whether another connection may be accepted.
    pub fn has_room(&self) -> bool {
        self.remaining() < self.limits.connections && self.entries.len() < self.most_open()
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.entries.len()
    }

    /// Returns the bytes that requests hold.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the most connections with those that are about to close.
    fn most_open(&self) -> usize {
        self.limits.connections + self.limits.connections / CLOSING_DIVISOR + 1
    }

    /// Returns the number of connections that are not about to close.
    fn remaining(&self) -> usize {
        self.entries.len() - self.closing
    }

    /// Returns the clients that are stalled for so long that they may have to give way.
    fn stalled(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (IntakeId, &IntakeEntry, Duration)> {
        self.entries.iter().filter_map(move |(id, entry)| {
            let time = entry.stalled_time(now)?;
            (time >= self.limits.stall_time).then_some((*id, entry, time))
        })
    }

    /// Returns the connection whose request would be served last of those that wait for an endpoint.
    ///
    /// One that has only begun to wait may find an endpoint at once.
    fn last_queued(&self, now: MonotonicTime) -> Option<IntakeId> {
        let queued = self.entries.iter().filter_map(|(id, entry)| match entry.phase {
            IntakePhase::Queued { size, since } => Some((size, since, *id)),
            _ => None,
        });
        let (_, since, id) = queued.max()?;
        (now >= since + self.limits.queue_time).then_some(id)
    }

    /// Returns the connections that give back at least `bytes` bytes for `id`, or `None` if the
    /// stalled ones hold less.
    fn victims_for(&self, id: IntakeId, bytes: usize, now: MonotonicTime) -> Option<Vec<IntakeId>> {
        if bytes == 0 {
            return Some(Vec::new());
        }
        let stalled = self.stalled(now).filter(|(other, entry, _)| *other != id && entry.held > 0);
        let mut stalled: Vec<_> =
            stalled.map(|(id, entry, time)| (time.as_secs_f64(), entry.held, id)).collect();
        let weight = |(seconds, held, _): &(f64, usize, IntakeId)| seconds * *held as f64;
        stalled.sort_by(|left, right| weight(right).total_cmp(&weight(left)));
        let (mut freed, mut victims) = (0, Vec::new());
        for (_, held, id) in stalled {
            if freed >= bytes {
                break;
            }
            freed += held;
            victims.push(id);
        }
        (freed >= bytes).then_some(victims)
    }
}

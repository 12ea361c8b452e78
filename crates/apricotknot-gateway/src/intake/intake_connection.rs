//! What one connection of a client occupies.

use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use apricotknot_core::intake::IntakeId;
use apricotknot_core::intake::IntakeRefusal;

use super::IntakeControl;
use super::intake_control::GiveWaySignal;

/// Room that one connection occupies, with the memory of its request; given back when dropped.
#[derive(Debug)]
pub struct IntakeConnection {
    control: Arc<IntakeControl>,
    id: IntakeId,
    signal: Arc<GiveWaySignal>,
}

impl IntakeConnection {
    pub(super) fn new(
        control: Arc<IntakeControl>,
        id: IntakeId,
        signal: Arc<GiveWaySignal>,
    ) -> Self {
        Self { control, id, signal }
    }

    /// Records that a request begins to arrive.
    pub fn begin(&self) {
        self.control.update(|table, now| table.begin(self.id, now));
    }

    /// Takes memory, so that the request may hold `held` bytes.
    ///
    /// # Errors
    ///
    /// Returns why there is none; the request must not run.
    pub fn grow(&self, held: usize) -> Result<(), IntakeRefusal> {
        self.control.grow(self.id, held)
    }

    /// Records that `bytes` bytes of the request have arrived.
    pub fn record(&self, bytes: usize) {
        self.control.update(|table, now| table.record(self.id, bytes, now));
    }

    /// Records that the request, of the given size, waits for an endpoint; it may have to give way.
    pub fn queue(&self, size: u64) {
        self.control.update(|table, now| table.queue(self.id, size, now));
    }

    /// Records that the request has arrived, or waits no longer; returns whether it may run.
    ///
    /// From then on the connection gives way to none, until [`IntakeConnection::queue`] or
    /// [`IntakeConnection::finish`].
    pub fn serve(&self) -> bool {
        self.control.update(|table, _| table.serve(self.id))
    }

    /// Returns the room of the request that goes on beside the connection, with its memory.
    ///
    /// It gives way to none, and counts as a connection until it is dropped.
    pub fn split_off(&self) -> Self {
        self.control.split_off(self.id)
    }

    /// Records that the request has ended, and gives back its memory.
    pub fn finish(&self) {
        self.control.update(|table, now| table.finish(self.id, now));
    }

    /// Waits until the connection has to give way.
    pub async fn gave_way(&self) {
        poll_fn(|context| self.poll_gave_way(context)).await;
    }

    /// Polls whether the connection has to give way; only one task may do so.
    pub fn poll_gave_way(&self, context: &mut Context<'_>) -> Poll<()> {
        self.signal.waker.register(context.waker());
        if self.has_to_give_way() { Poll::Ready(()) } else { Poll::Pending }
    }
}

impl IntakeConnection {
    /// Returns whether the connection has to give way.
    pub fn has_to_give_way(&self) -> bool {
        self.signal.is_given.load(Ordering::Acquire)
    }
}

impl Drop for IntakeConnection {
    fn drop(&mut self) {
        self.control.close(self.id);
    }
}

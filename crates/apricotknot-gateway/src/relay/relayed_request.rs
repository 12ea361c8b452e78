//! How far a peer has passed a request on to its endpoint.

use std::cell::Cell;

use actix_rt::net::TcpStream;

use super::RelayEnd;
use super::relay_message::EndMode;
use crate::endpoint::DELIVERY_CHECK_INTERVAL;
use crate::endpoint::Delivery;
use crate::endpoint::delivery;

/// Tells the direction of the answer what became of the request, which passes beside it.
#[derive(Debug)]
pub(super) struct RelayedRequest {
    end_mode: EndMode,
    /// Bytes that have not been written to the endpoint; `None` as long as the node has not stated the
    /// length of its request.
    bytes_left: Cell<Option<u64>>,
    /// Whether writing to the endpoint failed; the kernel reports a reset once, and the direction of
    /// the answer sees an orderly end.
    is_broken: Cell<bool>,
    /// Bytes for which the end of the answer was held back, as they were not acknowledged.
    held_back_for: Cell<Option<u64>>,
}

impl RelayedRequest {
    /// Creates the state of a request of which nothing has arrived.
    pub(super) fn new(end_mode: EndMode) -> Self {
        Self {
            end_mode,
            bytes_left: Cell::new(None),
            is_broken: Cell::new(false),
            held_back_for: Cell::new(None),
        }
    }

    /// Returns when the end of the answer is passed on.
    pub(super) fn end_mode(&self) -> EndMode {
        self.end_mode
    }

    /// Sets the length of the request, in bytes, as the node has stated it.
    pub(super) fn set_length(&self, bytes: u64) {
        self.bytes_left.set(Some(bytes));
    }

    /// Returns how many of `available` bytes belong to the request.
    pub(super) fn bytes_within(&self, available: usize) -> usize {
        let left = self.bytes_left.get().and_then(|left| usize::try_from(left).ok());
        left.map_or(available, |left| left.min(available))
    }

    /// Counts bytes that were written to the endpoint.
    pub(super) fn count_sent(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.bytes_left.set(self.bytes_left.get().map(|left| left.saturating_sub(bytes)));
    }

    /// Notes that writing to the endpoint failed.
    pub(super) fn mark_broken(&self) {
        self.is_broken.set(true);
    }

    /// Returns the bytes for which the end of the answer was last held back, if it was.
    pub(super) fn held_back_for(&self) -> Option<u64> {
        self.held_back_for.get()
    }

    /// Waits until the endpoint at the other end of `target`, which has closed its connection, has
    /// acknowledged the request, as far as this node knows it.
    ///
    /// The node's leaving ends the wait from outside.
    ///
    /// # Errors
    ///
    /// Returns the end if the connection has failed.
    pub(super) async fn wait_taken(&self, target: &TcpStream) -> Result<(), RelayEnd> {
        while !self.is_taken(target)? {
            tokio::time::sleep(DELIVERY_CHECK_INTERVAL).await;
        }
        Ok(())
    }

    fn is_taken(&self, target: &TcpStream) -> Result<bool, RelayEnd> {
        let broken_end = match self.held_back_for.get() {
            Some(_) => RelayEnd::RequestNotTaken,
            None => RelayEnd::EndpointBroken,
        };
        if self.is_broken.get() {
            return Err(broken_end);
        }
        let unwritten = match self.end_mode {
            EndMode::Immediate => 0,
            // One byte at least is missing of a request whose length has not arrived.
            EndMode::Confirmed => self.bytes_left.get().unwrap_or(1),
        };
        let unacknowledged = match delivery(target).map_err(|_| broken_end)? {
            Delivery::Outstanding { bytes } => bytes,
            Delivery::Acknowledged | Delivery::Unknown => 0,
        };
        let missing = unwritten.saturating_add(unacknowledged);
        if missing > 0 {
            self.held_back_for.set(Some(missing));
        }
        Ok(missing == 0)
    }
}

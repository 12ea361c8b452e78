//! Reports to pools' owners that are repeated until they are confirmed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use apricotknot_core::types::NodeId;
use apricotknot_wire::message::PoolReport;

/// Most reports sent in one call.
const MAX_BATCH: usize = 256;

/// Most reports kept for one owner.
const MAX_QUEUED: usize = 100_000;

/// Keeps reports in order for each owner; one call is under way to each at a time.
#[derive(Debug, Default)]
pub(super) struct ReportOutbox {
    queues: BTreeMap<NodeId, VecDeque<PoolReport>>,
    in_flight: BTreeSet<NodeId>,
}

impl ReportOutbox {
    /// Adds a report for `owner`.
    pub(super) fn push(&mut self, owner: &NodeId, report: PoolReport) {
        let queue = self.queues.entry(owner.clone()).or_default();
        if queue.len() < MAX_QUEUED {
            queue.push_back(report);
        }
    }

    /// Takes the batches that can be sent now.
    pub(super) fn take_batches(&mut self) -> Vec<(NodeId, Vec<PoolReport>)> {
        let mut batches = Vec::new();
        for (owner, queue) in &mut self.queues {
            if queue.is_empty() || self.in_flight.contains(owner) {
                continue;
            }
            let count = queue.len().min(MAX_BATCH);
            batches.push((owner.clone(), queue.drain(..count).collect()));
        }
        self.in_flight.extend(batches.iter().map(|(owner, _)| owner.clone()));
        self.queues.retain(|_, queue| !queue.is_empty());
        batches
    }

    /// Takes in that the call to `owner` is over; `unconfirmed` are sent again, first.
    pub(super) fn finish(&mut self, owner: &NodeId, unconfirmed: Vec<PoolReport>) {
        self.in_flight.remove(owner);
        if unconfirmed.is_empty() {
            return;
        }
        let queue = self.queues.entry(owner.clone()).or_default();
        for report in unconfirmed.into_iter().rev() {
            queue.push_front(report);
        }
    }

    /// Forgets what `owner` was to be told; it has gone with all that it granted.
    pub(super) fn remove(&mut self, owner: &NodeId) {
        self.queues.remove(owner);
    }
}

//! Reports to pools' owners, sent again until they are confirmed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use apricotknot_core::types::NodeId;
use apricotknot_wire::message::PoolReport;

/// Maximum number of reports in one call.
const MAX_BATCH: usize = 256;

/// Maximum number of reports queued for one owner; further ones are dropped.
const MAX_QUEUED: usize = 100_000;

/// Queues reports in order for each owner, with at most one call in flight to each.
#[derive(Debug, Default)]
pub(super) struct ReportOutbox {
    queues: BTreeMap<NodeId, VecDeque<PoolReport>>,
    in_flight: BTreeSet<NodeId>,
}

impl ReportOutbox {
    /// Adds a report for `owner`, unless its queue is full.
    pub(super) fn push(&mut self, owner: &NodeId, report: PoolReport) {
        let queue = self.queues.entry(owner.clone()).or_default();
        if queue.len() < MAX_QUEUED {
            queue.push_back(report);
        }
    }

    /// Removes and returns the batches that can be sent now, at most one for each owner.
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

    /// Records that the call to `owner` has ended, and puts `unconfirmed` back at the head of its
    /// queue.
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

    /// Removes all reports for `owner`, which has left the fleet together with its grants.
    pub(super) fn remove(&mut self, owner: &NodeId) {
        self.queues.remove(owner);
    }
}

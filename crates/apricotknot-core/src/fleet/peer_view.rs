//! What one node knows of another one from its last load snapshot.

use std::time::Duration;

use super::LoadSnapshot;
use super::RelayStatus;
use super::WaitSnapshot;
use super::WorkItem;
use super::WorkPhase;
use super::WorkSnapshot;
use crate::types::IncarnationNumber;
use crate::types::MonotonicTime;
use crate::types::PriorityRank;
use crate::types::TokenCount;

/// A request that waits at another node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerWait {
    /// Length of the prompt.
    pub prompt: TokenCount,
    /// Time at which it arrived there.
    pub arrived: MonotonicTime,
    /// Whether the price of engine time holds it.
    pub is_held_by_price: bool,
}

/// Holds the last load snapshot of another node.
#[derive(Clone, Debug)]
pub(super) struct PeerView {
    incarnation: IncarnationNumber,
    sequence: u64,
    pub(super) received: MonotonicTime,
    pub(super) work_items: Vec<WorkItem>,
    pub(super) waits: Vec<PeerWait>,
    pub(super) relay: Option<RelayStatus>,
}

impl PeerView {
    /// Creates the view of a node whose snapshot was received at `now`.
    pub(super) fn new(snapshot: LoadSnapshot, now: MonotonicTime) -> Self {
        Self {
            incarnation: snapshot.incarnation,
            sequence: snapshot.sequence,
            received: now,
            work_items: work_items(snapshot.works, &snapshot.ranks, now),
            waits: peer_waits(&snapshot.waits, &snapshot.price_waits, now),
            relay: snapshot.relay,
        }
    }

    /// Returns whether `snapshot` is newer than this view.
    pub(super) fn is_older_than(&self, snapshot: &LoadSnapshot) -> bool {
        (self.incarnation, self.sequence) < (snapshot.incarnation, snapshot.sequence)
    }
}

/// Returns the requests that wait at another node; one without a stated cause counts as not held by
/// the price.
fn peer_waits(waits: &[WaitSnapshot], price_waits: &[bool], now: MonotonicTime) -> Vec<PeerWait> {
    let causes = price_waits.iter().copied().chain(std::iter::repeat(false));
    let waits = waits.iter().zip(causes).map(|(wait, is_held_by_price)| PeerWait {
        prompt: u64::from(wait.prompt),
        arrived: now.saturating_sub(Duration::from_millis(u64::from(wait.age_ms))),
        is_held_by_price,
    });
    waits.collect()
}

/// Returns the work of another node; work without a stated rank has the usual one.
fn work_items(
    works: Vec<WorkSnapshot>,
    ranks: &[PriorityRank],
    now: MonotonicTime,
) -> Vec<WorkItem> {
    let ranks = ranks.iter().copied().chain(std::iter::repeat(0));
    works.into_iter().zip(ranks).map(|(work, rank)| work.into_work_item(rank, now)).collect()
}

/// Returns the prefills of `work_items` that are not among those of `others`, each counted once.
pub(super) fn prefills_missing_in(others: &[WorkItem], work_items: &[WorkItem]) -> Vec<WorkItem> {
    let is_prefill = |work: &&WorkItem| work.phase == WorkPhase::Prefill;
    let mut others: Vec<&WorkItem> = others.iter().filter(is_prefill).collect();
    let mut missing = Vec::new();
    for work in work_items.iter().filter(is_prefill) {
        match others.iter().position(|other| is_same_prefill(other, work)) {
            Some(index) => _ = others.swap_remove(index),
            None => missing.push(work.clone()),
        }
    }
    missing
}

/// Returns whether two snapshots of a node mean the same prefill; its age differs by their delays.
fn is_same_prefill(left: &WorkItem, right: &WorkItem) -> bool {
    left.endpoint == right.endpoint
        && left.role == right.role
        && left.prompt == right.prompt
        && left.prefill_time == right.prefill_time
}

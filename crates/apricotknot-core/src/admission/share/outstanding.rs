//! Upper bounds of what other nodes still use of a closed loan or an earlier share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::ReconcileScope;
use crate::admission::BudgetAmount;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Holds the first and the smallest amount that one node reported to run. The amount only shrinks
/// after the first report, because the node then accepts no further grants.
#[derive(Clone, Copy, Debug)]
struct NodeAnswer {
    first: BudgetAmount,
    least: BudgetAmount,
}

/// Tracks an upper bound of what is still in use of a closed loan or of an earlier share.
#[derive(Clone, Debug)]
pub(super) struct OutstandingUsage {
    pub(super) scope: ReconcileScope,
    /// Upper bound at the time of closing.
    pub(super) bound: BudgetAmount,
    /// Time from which nodes may be queried for what they run; `None` while the holder of the
    /// earlier share is trusted to report its use itself.
    pub(super) query_from: Option<MonotonicTime>,
    /// Time at which all use has certainly ended.
    pub(super) free_at: Option<MonotonicTime>,
    nodes: BTreeSet<NodeId>,
    answers: BTreeMap<NodeId, NodeAnswer>,
    /// Remaining use that the borrower, or the holder of the earlier share, reported.
    kept: Option<BudgetAmount>,
    stopped: BTreeMap<NodeId, MonotonicTime>,
}

impl OutstandingUsage {
    /// Creates the record of at most `bound` in use at `nodes`.
    pub(super) fn new(scope: ReconcileScope, bound: BudgetAmount, nodes: &[NodeId]) -> Self {
        Self {
            scope,
            bound,
            query_from: None,
            free_at: None,
            nodes: nodes.iter().cloned().collect(),
            answers: BTreeMap::new(),
            kept: None,
            stopped: BTreeMap::new(),
        }
    }
}

impl OutstandingUsage {
    /// Records the remaining use that the borrower, or the holder of the earlier share, reports.
    pub(super) fn record_kept(&mut self, kept: BudgetAmount) {
        self.kept = Some(self.kept.map_or(kept, |known| known.component_min(kept)));
    }

    /// Records that a node was not running at `seen_at`, so that its attempts have ended
    /// `orphan_hold` later. An observation from before `query_from` is ignored, because more work
    /// may have been charged after it.
    pub(super) fn record_stopped_node(
        &mut self,
        node: &NodeId,
        seen_at: MonotonicTime,
        orphan_hold: Duration,
    ) {
        if self.query_from.is_some_and(|time| seen_at >= time) {
            self.stopped.entry(node.clone()).or_insert(seen_at + orphan_hold);
        }
    }

    /// Records that the stopped nodes whose attempts have ended run nothing.
    pub(super) fn count_stopped(&mut self, now: MonotonicTime) {
        let over = self.stopped.iter().filter(|(_, free_at)| now >= **free_at);
        let nodes: Vec<NodeId> = over.map(|(node, _)| node.clone()).collect();
        for node in nodes {
            self.record_answer(&node, BudgetAmount::default());
        }
    }

    /// Records what a node reports to run.
    pub(super) fn record_answer(&mut self, node: &NodeId, held: BudgetAmount) {
        if !self.nodes.contains(node) {
            return;
        }
        let new = NodeAnswer { first: held, least: held };
        let known = self.answers.entry(node.clone()).or_insert(new);
        known.least = known.least.component_min(held);
    }
}

impl OutstandingUsage {
    /// Returns an upper bound of what is still in use.
    pub(super) fn held(&self, now: MonotonicTime) -> BudgetAmount {
        if self.free_at.is_some_and(|time| now >= time) {
            return BudgetAmount::default();
        }
        let bound = self.answered_bound();
        self.kept.map_or(bound, |kept| kept.component_min(bound))
    }

    /// Returns whether nothing is in use any more.
    pub(super) fn is_free(&self, now: MonotonicTime) -> bool {
        self.held(now) == BudgetAmount::default()
    }

    /// Returns the nodes that must be queried now.
    pub(super) fn nodes_to_query(&self, now: MonotonicTime) -> Vec<NodeId> {
        if self.is_free(now) || self.query_from.is_none_or(|time| now < time) {
            return Vec::new();
        }
        let is_open = |node: &&NodeId| {
            let answer = self.answers.get(*node);
            answer.is_none_or(|answer| answer.least != BudgetAmount::default())
        };
        self.nodes.iter().filter(is_open).cloned().collect()
    }

    /// Returns the upper bound that follows from the answers of the nodes.
    ///
    /// Once all nodes have answered, the bound is at most the sum of what they run. Before that,
    /// whatever the answering nodes have ended since their first answers is free and is subtracted
    /// from the bound of a loan. This holds only for loans: a loan has a single borrower, so that
    /// all reported charges belong to its amount, whereas an earlier share may be charged by
    /// several nodes.
    fn answered_bound(&self) -> BudgetAmount {
        let answers = self.answers.values();
        let (first, least) = answers.fold(Default::default(), |(first, least), answer| {
            let sums: (BudgetAmount, BudgetAmount) = (first, least);
            (sums.0.plus(answer.first), sums.1.plus(answer.least))
        });
        if self.answers.len() == self.nodes.len() {
            return self.bound.component_min(least);
        }
        match self.scope {
            ReconcileScope::Loan(_) => self.bound.minus(first.minus(least)),
            ReconcileScope::Earlier { .. } => self.bound,
        }
    }
}

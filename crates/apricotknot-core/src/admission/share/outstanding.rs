//! Amounts of a share that may still be in use elsewhere.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::ReconcileScope;
use crate::admission::BudgetAmount;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Holds what one node said it runs: nothing is added to it after its first answer.
#[derive(Clone, Copy, Debug)]
struct NodeAnswer {
    first: BudgetAmount,
    least: BudgetAmount,
}

/// Tracks an upper bound of what is still in use of a closed loan or an earlier share.
#[derive(Clone, Debug)]
pub(super) struct OutstandingUsage {
    pub(super) scope: ReconcileScope,
    /// Most that can be in use.
    pub(super) bound: BudgetAmount,
    /// Moment from which nodes may be asked what they run; `None` while the borrower is trusted
    /// to say so itself.
    pub(super) query_from: Option<MonotonicTime>,
    /// Moment at which nothing can be left.
    pub(super) free_at: Option<MonotonicTime>,
    nodes: BTreeSet<NodeId>,
    answers: BTreeMap<NodeId, NodeAnswer>,
    /// What the borrower, or the holder of the earlier share, says is left.
    kept: Option<BudgetAmount>,
    stopped: BTreeMap<NodeId, MonotonicTime>,
}

impl OutstandingUsage {
    /// Creates the record of up to `bound` in use on `nodes`.
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

// Commands.
impl OutstandingUsage {
    /// Takes in what the borrower, or the holder of the earlier share, says is left.
    pub(super) fn record_kept(&mut self, kept: BudgetAmount) {
        self.kept = Some(self.kept.map_or(kept, |known| known.component_min(kept)));
    }

    /// Takes in that a node was not running at `seen_at`, so that nothing of it is left
    /// `orphan_hold` later. Only what is seen after nothing can be charged any more says anything.
    pub(super) fn record_stopped_node(
        &mut self,
        node: &NodeId,
        seen_at: MonotonicTime,
        orphan_hold: Duration,
    ) {
        if self.query_from.is_some_and(|moment| seen_at >= moment) {
            self.stopped.entry(node.clone()).or_insert(seen_at + orphan_hold);
        }
    }

    /// Counts the nodes that were seen not to run, and left nothing, as having said so.
    pub(super) fn count_stopped(&mut self, now: MonotonicTime) {
        let over = self.stopped.iter().filter(|(_, free_at)| now >= **free_at);
        let nodes: Vec<NodeId> = over.map(|(node, _)| node.clone()).collect();
        for node in nodes {
            self.record_answer(&node, BudgetAmount::default());
        }
    }

    /// Takes in what a node says it runs.
    pub(super) fn record_answer(&mut self, node: &NodeId, held: BudgetAmount) {
        if !self.nodes.contains(node) {
            return;
        }
        let new = NodeAnswer { first: held, least: held };
        let known = self.answers.entry(node.clone()).or_insert(new);
        known.least = known.least.component_min(held);
    }
}

// Queries.
impl OutstandingUsage {
    /// Returns the most that can be in use.
    pub(super) fn held(&self, now: MonotonicTime) -> BudgetAmount {
        if self.free_at.is_some_and(|moment| now >= moment) {
            return BudgetAmount::default();
        }
        let bound = self.answered_bound();
        self.kept.map_or(bound, |kept| kept.component_min(bound))
    }

    /// Returns whether nothing can be in use.
    pub(super) fn is_free(&self, now: MonotonicTime) -> bool {
        self.held(now) == BudgetAmount::default()
    }

    /// Returns the nodes that have to be asked now.
    pub(super) fn nodes_to_query(&self, now: MonotonicTime) -> Vec<NodeId> {
        if self.is_free(now) || self.query_from.is_none_or(|moment| now < moment) {
            return Vec::new();
        }
        let is_open = |node: &&NodeId| {
            let answer = self.answers.get(*node);
            answer.is_none_or(|answer| answer.least != BudgetAmount::default())
        };
        self.nodes.iter().filter(is_open).cloned().collect()
    }

    /// Returns the bound that follows from the nodes' answers.
    ///
    /// Once all have answered it is what they run. Before that, what the others have ended since
    /// their first answer is certainly free; only a loan is charged by nobody else, so that the
    /// answers can be set against its amount.
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

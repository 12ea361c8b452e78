//! Messages of a holder that are repeated until they are answered.

use super::ReconcileScope;
use super::ShareMessage;
use super::lending::ShareHolder;
use crate::types::MonotonicTime;
use crate::types::NodeId;

// Queries.
impl ShareHolder {
    /// Returns the questions about what nodes run that are due.
    pub(super) fn reconcile_requests(&self, now: MonotonicTime) -> Vec<(NodeId, ShareMessage)> {
        let loans = self.closed.iter().map(|loan| &loan.usage);
        let mut messages = Vec::new();
        for usage in loans.chain(self.predecessors.values()) {
            let endpoint = &self.assignment.endpoint;
            let request =
                ShareMessage::Reconcile { endpoint: endpoint.clone(), scope: usage.scope.clone() };
            messages
                .extend(usage.nodes_to_query(now).into_iter().map(|node| (node, request.clone())));
        }
        messages
    }

    /// Returns the messages that ask for loans back.
    pub(super) fn recall_requests(&self, now: MonotonicTime) -> Vec<(NodeId, ShareMessage)> {
        let lent = self.closed.iter().filter(|loan| now < loan.until);
        let recalls = lent.filter_map(|loan| {
            let ReconcileScope::Loan(source) = &loan.usage.scope else {
                return None;
            };
            let endpoint = self.assignment.endpoint.clone();
            let message = ShareMessage::Recall { endpoint, loan: source.clone() };
            Some((loan.borrower.clone()?.0, message))
        });
        recalls.collect()
    }

    /// Returns the messages that ask holders of earlier epochs to stop.
    pub(super) fn retire_requests(&self) -> Vec<(NodeId, ShareMessage)> {
        let others = self.predecessors.iter().filter(|(_, usage)| usage.query_from.is_none());
        let ask = |node: &NodeId| {
            let endpoint = self.assignment.endpoint.clone();
            let message = ShareMessage::Retire { endpoint, epoch: self.assignment.epoch };
            (node.clone(), message)
        };
        others.map(|(node, _)| ask(node)).collect()
    }
}

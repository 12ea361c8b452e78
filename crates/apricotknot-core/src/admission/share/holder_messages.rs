//! Messages of a share holder that are repeated until they are answered.

use super::ReconcileScope;
use super::ShareMessage;
use super::lending::ShareHolder;
use crate::types::MonotonicTime;
use crate::types::NodeId;

impl ShareHolder {
    /// Returns the due requests to nodes to report what they run.
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

    /// Returns the requests to borrowers to return closed loans whose terms have not expired.
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

    /// Returns the requests to holders of earlier epochs to stop using their shares.
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

//! Handling of messages between the share ledgers of nodes.

use super::ChargeSource;
use super::ReconcileScope;
use super::ShareAction;
use super::ShareMessage;
use super::ledger::ShareLedger;
use crate::admission::BudgetAmount;
use crate::types::EndpointId;
use crate::types::EpochNumber;
use crate::types::IncarnationNumber;
use crate::types::MonotonicTime;
use crate::types::NodeId;

impl ShareLedger {
    /// Handles a message from the ledger of the node `from`, and returns the reply, if any.
    pub fn receive(
        &mut self,
        from: &NodeId,
        message: ShareMessage,
        now: MonotonicTime,
    ) -> Vec<ShareAction> {
        let reply = match message {
            ShareMessage::Borrow { endpoint, epoch, requested_at, incarnation } => {
                self.lend(from, &endpoint, (epoch, requested_at, incarnation), now)
            },
            ShareMessage::Lend {
                endpoint,
                epoch,
                loan,
                amount,
                term,
                requested_at,
                incarnation,
            } => {
                if incarnation == self.local.incarnation {
                    self.accept_loan(&endpoint, epoch, (loan, amount), requested_at + term, now);
                }
                None
            },
            ShareMessage::Reconcile { endpoint, scope } => self.reconcile(endpoint, scope, now),
            other => self.receive_other(from, other, now),
        };
        reply.map(|message| ShareAction::Send { to: from.clone(), message }).into_iter().collect()
    }

    /// Handles a message from this ledger to itself, and its reply.
    pub(super) fn receive_own(&mut self, message: ShareMessage, now: MonotonicTime) {
        let node = self.local.node.clone();
        for ShareAction::Send { message, .. } in self.receive(&node, message, now) {
            self.receive(&node, message, now);
        }
    }

    fn lend(
        &mut self,
        from: &NodeId,
        endpoint: &EndpointId,
        request: (EpochNumber, MonotonicTime, IncarnationNumber),
        now: MonotonicTime,
    ) -> Option<ShareMessage> {
        let (epoch, requested_at, incarnation) = request;
        let shares = self.endpoints.get_mut(endpoint)?;
        let is_owner = shares.owner.as_ref() == Some(from) && *from != self.local.node;
        if !is_owner || shares.holder.assignment().epoch != epoch {
            return None;
        }
        let borrower = (from, incarnation);
        let (loan, amount) = shares.holder.lend(&self.local, borrower, &self.settings, now)?;
        Some(ShareMessage::Lend {
            endpoint: endpoint.clone(),
            epoch,
            loan,
            amount,
            term: self.settings.loan_term,
            requested_at,
            incarnation,
        })
    }

    fn accept_loan(
        &mut self,
        endpoint: &EndpointId,
        epoch: EpochNumber,
        loan: (ChargeSource, BudgetAmount),
        until: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Some(shares) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let is_owner = shares.owner.as_ref() == Some(&self.local.node);
        if is_owner && shares.holder.assignment().epoch == epoch {
            shares.borrower.accept_loan(loan.0, loan.1, until, now);
        }
    }

    fn reconcile(
        &mut self,
        endpoint: EndpointId,
        scope: ReconcileScope,
        now: MonotonicTime,
    ) -> Option<ShareMessage> {
        if now < self.local.started_at + self.settings.orphan_hold
            || self.covers_own_incarnation(&scope)
        {
            return None;
        }
        if let Some(shares) = self.endpoints.get_mut(&endpoint) {
            shares.borrower.close_scope(&scope);
        }
        let held = self.held.close(&endpoint, &scope, now);
        Some(ShareMessage::Holdings { endpoint, scope, held })
    }

    fn receive_other(
        &mut self,
        from: &NodeId,
        message: ShareMessage,
        now: MonotonicTime,
    ) -> Option<ShareMessage> {
        let settings = self.settings;
        match message {
            ShareMessage::Recall { endpoint, loan } => {
                let shares = self.endpoints.get_mut(&endpoint)?;
                shares.borrower.close_scope(&ReconcileScope::Loan(loan));
            },
            ShareMessage::Return { endpoint, loan, kept } => {
                let shares = self.endpoints.get_mut(&endpoint)?;
                if shares.holder.handle_return(&loan, kept, &settings, now) {
                    return Some(ShareMessage::Returned { endpoint, loan });
                }
            },
            ShareMessage::Returned { endpoint, loan } => {
                self.endpoints.get_mut(&endpoint)?.borrower.remove_returned(&loan);
            },
            ShareMessage::Holdings { endpoint, scope, held } => {
                self.endpoints.get_mut(&endpoint)?.holder.handle_holdings(from, &scope, held);
            },
            ShareMessage::Retire { endpoint, epoch } => {
                let kept = self.endpoints.get_mut(&endpoint)?.holder.retire(epoch, &settings, now);
                return Some(ShareMessage::Retired { endpoint, epoch, kept });
            },
            ShareMessage::Retired { endpoint, epoch, kept } => {
                self.endpoints.get_mut(&endpoint)?.holder.handle_retired(from, epoch, kept);
            },
            _ => {},
        }
        None
    }
}

impl ShareLedger {
    fn covers_own_incarnation(&self, scope: &ReconcileScope) -> bool {
        let own = ChargeSource {
            lender: self.local.node.clone(),
            incarnation: self.local.incarnation,
            number: 0,
        };
        scope.covers(&own)
    }
}

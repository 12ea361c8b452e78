//! Borrower's side of one endpoint: the loans that a pool owner may charge grants to.

use std::collections::BTreeMap;

use super::ChargePart;
use super::ChargeSource;
use super::ReconcileScope;
use super::ShareMessage;
use crate::admission::BudgetAmount;
use crate::types::EndpointId;
use crate::types::IncarnationNumber;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Tracks one loan and what is charged to it.
#[derive(Clone, Debug)]
struct BorrowedLoan {
    source: ChargeSource,
    amount: BudgetAmount,
    charged: BudgetAmount,
    /// Time, on the clock of this node, at which the loan expires and nothing more may be charged.
    expires_at: MonotonicTime,
}

/// Tracks the loans of one endpoint that this node has received.
#[derive(Clone, Debug, Default)]
pub(super) struct ShareBorrower {
    open: BTreeMap<NodeId, BorrowedLoan>,
    returning: Vec<BorrowedLoan>,
    closed: BTreeMap<NodeId, (IncarnationNumber, u64)>,
}

impl ShareBorrower {
    /// Accepts a new loan, or a longer term or a larger amount of a known one.
    pub(super) fn accept_loan(
        &mut self,
        source: ChargeSource,
        amount: BudgetAmount,
        expires_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.close_expired(now);
        let key = (source.incarnation, source.number);
        let is_closed = self.closed.get(&source.lender).is_some_and(|closed| key <= *closed);
        if is_closed || now >= expires_at {
            return;
        }
        let known = self.open.get(&source.lender).map(|loan| loan.source.clone());
        if known.is_some_and(|known| known != source) {
            self.close(&source.lender.clone());
        }
        let lender = source.lender.clone();
        let charged = BudgetAmount::default();
        let new = BorrowedLoan { source, amount, charged, expires_at };
        let loan = self.open.entry(lender).or_insert(new);
        loan.amount = BudgetAmount::new(
            loan.amount.memory_tokens.max(amount.memory_tokens),
            loan.amount.concurrent.max(amount.concurrent),
        );
        loan.expires_at = loan.expires_at.max(expires_at);
    }

    /// Charges as much of `wanted` as the loans allow; returns the charged parts.
    pub(super) fn charge(&mut self, wanted: BudgetAmount, now: MonotonicTime) -> Vec<ChargePart> {
        self.close_expired(now);
        let mut left = wanted;
        let mut parts = Vec::new();
        for loan in self.open.values_mut() {
            let amount = loan.amount.minus(loan.charged).component_min(left);
            if amount != BudgetAmount::default() {
                loan.charged = loan.charged.plus(amount);
                left = left.minus(amount);
                parts.push(ChargePart { source: loan.source.clone(), amount });
            }
        }
        parts
    }

    /// Credits a loan with a part that was charged to it.
    pub(super) fn credit(&mut self, part: &ChargePart) {
        let loans = self.open.values_mut().chain(&mut self.returning);
        for loan in loans.filter(|loan| loan.source == part.source) {
            loan.charged = loan.charged.minus(part.amount);
        }
    }

    /// Closes all loans that a scope covers; they are not accepted again.
    pub(super) fn close_scope(&mut self, scope: &ReconcileScope) {
        let covered = self.open.values().filter(|loan| scope.covers(&loan.source));
        let lenders: Vec<NodeId> = covered.map(|loan| loan.source.lender.clone()).collect();
        for lender in lenders {
            self.close(&lender);
        }
        let (lender, key) = match scope {
            ReconcileScope::Loan(source) => (&source.lender, (source.incarnation, source.number)),
            ReconcileScope::Earlier { lender, incarnation } if *incarnation > 0 => {
                (lender, (incarnation - 1, u64::MAX))
            },
            ReconcileScope::Earlier { .. } => return,
        };
        let closed = self.closed.entry(lender.clone()).or_default();
        *closed = (*closed).max(key);
    }

    /// Closes all loans.
    pub(super) fn close_all(&mut self) {
        let lenders: Vec<NodeId> = self.open.keys().cloned().collect();
        for lender in lenders {
            self.close(&lender);
        }
    }

    /// Closes the expired loans.
    pub(super) fn close_expired(&mut self, now: MonotonicTime) {
        let expired = self.open.iter().filter(|(_, loan)| now >= loan.expires_at);
        let lenders: Vec<NodeId> = expired.map(|(lender, _)| lender.clone()).collect();
        for lender in lenders {
            self.close(&lender);
        }
    }

    /// Removes a loan whose lender acknowledged that it was returned completely.
    pub(super) fn remove_returned(&mut self, source: &ChargeSource) {
        let none = BudgetAmount::default();
        self.returning.retain(|loan| loan.source != *source || loan.charged != none);
    }

    fn close(&mut self, lender: &NodeId) {
        if let Some(loan) = self.open.remove(lender) {
            let key = (loan.source.incarnation, loan.source.number);
            let closed = self.closed.entry(lender.clone()).or_default();
            *closed = (*closed).max(key);
            self.returning.push(loan);
        }
    }
}

impl ShareBorrower {
    /// Returns the amount that may still be charged to all loans.
    pub(super) fn usable(&self, now: MonotonicTime) -> BudgetAmount {
        let open = self.open.values().filter(|loan| now < loan.expires_at);
        let free = open.map(|loan| loan.amount.minus(loan.charged));
        free.fold(BudgetAmount::default(), BudgetAmount::plus)
    }

    /// Returns the time at which the loan of a lender expires.
    pub(super) fn expires_at(&self, lender: &str) -> Option<MonotonicTime> {
        self.open.get(lender).map(|loan| loan.expires_at)
    }

    /// Returns the messages that report to lenders what is still charged to closed loans.
    pub(super) fn returns(&self, endpoint: &EndpointId) -> Vec<(NodeId, ShareMessage)> {
        let loans = self.returning.iter();
        let message = |loan: &BorrowedLoan| ShareMessage::Return {
            endpoint: endpoint.clone(),
            loan: loan.source.clone(),
            kept: loan.charged,
        };
        loans.map(|loan| (loan.source.lender.clone(), message(loan))).collect()
    }
}

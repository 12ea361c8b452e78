//! Holder's side of one endpoint: its share, and what it has lent of it.

use std::collections::BTreeMap;

use super::AssignmentOrigin;
use super::ChargeSource;
use super::ReconcileScope;
use super::ShareAssignment;
use super::ShareMessage;
use super::ShareSettings;
use super::outstanding::OutstandingUsage;
use crate::admission::BudgetAmount;
use crate::types::EpochNumber;
use crate::types::IncarnationNumber;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Identifies the current incarnation of this node.
#[derive(Clone, Debug)]
pub(super) struct LocalNode {
    pub(super) node: NodeId,
    pub(super) incarnation: IncarnationNumber,
    pub(super) started_at: MonotonicTime,
}

/// Holds the loan that this node currently lends of its share.
#[derive(Clone, Debug)]
struct OpenLoan {
    source: ChargeSource,
    borrower: NodeId,
    borrower_incarnation: IncarnationNumber,
    amount: BudgetAmount,
    until: MonotonicTime,
}

/// Holds a closed loan, or the share of an earlier incarnation, that may still be in use.
#[derive(Clone, Debug)]
pub(super) struct ClosedLoan {
    epoch: EpochNumber,
    pub(super) borrower: Option<(NodeId, IncarnationNumber)>,
    /// Time until which the borrower may still charge to it.
    pub(super) until: MonotonicTime,
    pub(super) usage: OutstandingUsage,
}

/// Tracks the share of this node in the budget of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct ShareHolder {
    pub(super) assignment: ShareAssignment,
    share: BudgetAmount,
    own_used: BudgetAmount,
    earlier_used: BudgetAmount,
    open: Option<OpenLoan>,
    pub(super) closed: Vec<ClosedLoan>,
    pub(super) predecessors: BTreeMap<NodeId, OutstandingUsage>,
    next_loan_number: u64,
    /// Time at which this node learned the epoch of the assignment.
    assigned_at: MonotonicTime,
    /// Newest epoch for which another holder requested to retire this share, if newer than the
    /// epoch of the assignment.
    retired_for_epoch: EpochNumber,
    /// Whether it is certain that no earlier incarnation of this node gave up the share.
    is_confirmed: bool,
}

impl ShareHolder {
    /// Creates the holder's side. Unless the endpoint is new, the shares of earlier incarnations of
    /// this node count as in use until they are reconciled.
    pub(super) fn new(
        local: &LocalNode,
        assignment: ShareAssignment,
        origin: AssignmentOrigin,
        settings: &ShareSettings,
        now: MonotonicTime,
    ) -> Self {
        let share = assignment.share_of(&local.node);
        let mut holder = Self {
            assignment,
            share,
            own_used: BudgetAmount::default(),
            earlier_used: BudgetAmount::default(),
            open: None,
            closed: Vec::new(),
            predecessors: BTreeMap::new(),
            next_loan_number: 1,
            assigned_at: now,
            retired_for_epoch: 0,
            is_confirmed: origin != AssignmentOrigin::Peer,
        };
        holder.add_predecessors(local);
        if origin != AssignmentOrigin::StoreNewEndpoint {
            holder.count_earlier_incarnations(local, settings, now);
        }
        holder
    }

    /// Applies the assignment of a newer epoch; everything in use stays counted. Under the same
    /// epoch only a smaller share is applied.
    pub(super) fn assign(
        &mut self,
        local: &LocalNode,
        assignment: ShareAssignment,
        settings: &ShareSettings,
        now: MonotonicTime,
    ) {
        if assignment.epoch == self.assignment.epoch {
            self.shrink(assignment.share_of(&local.node), settings);
        }
        if assignment.epoch <= self.assignment.epoch {
            return;
        }
        self.close_open(settings);
        self.earlier_used = self.earlier_used.plus(self.own_used);
        self.own_used = BudgetAmount::default();
        self.share = assignment.share_of(&local.node);
        self.assignment = assignment;
        self.assigned_at = now;
        self.add_predecessors(local);
    }

    /// Applies a smaller share immediately. A larger one waits for the next epoch, because other
    /// holders may not know of it yet.
    fn shrink(&mut self, share: BudgetAmount, settings: &ShareSettings) {
        let share = self.share.component_min(share);
        if share != self.share {
            self.close_open(settings);
            self.share = share;
        }
    }

    /// Lends the free part of the share, or extends the loan of the borrower by it; returns the
    /// loan and its total amount, or `None` if nothing is lent.
    pub(super) fn lend(
        &mut self,
        local: &LocalNode,
        borrower: (&NodeId, IncarnationNumber),
        settings: &ShareSettings,
        now: MonotonicTime,
    ) -> Option<(ChargeSource, BudgetAmount)> {
        let (node, borrower_incarnation) = borrower;
        let is_other = self.open.as_ref().is_some_and(|loan| {
            loan.borrower != *node
                || loan.borrower_incarnation < borrower_incarnation
                || now >= loan.until
        });
        if is_other {
            self.close_open(settings);
        }
        if self.open.as_ref().is_some_and(|loan| loan.borrower_incarnation > borrower_incarnation) {
            return None;
        }
        let free = self.own_free(now);
        let until = now + settings.loan_term + settings.clock_margin;
        if self.open.is_none() {
            if free == BudgetAmount::default() {
                return None;
            }
            let source = ChargeSource {
                lender: local.node.clone(),
                incarnation: local.incarnation,
                number: self.next_loan_number,
            };
            self.next_loan_number += 1;
            let (borrower, amount) = (node.clone(), BudgetAmount::default());
            self.open = Some(OpenLoan { source, borrower, borrower_incarnation, amount, until });
        }
        let loan = self.open.as_mut()?;
        loan.amount = loan.amount.plus(free);
        loan.until = until;
        Some((loan.source.clone(), loan.amount))
    }

    /// Closes the open loan if its borrower is not `owner`.
    pub(super) fn set_owner(&mut self, owner: Option<&NodeId>, settings: &ShareSettings) {
        if self.open.as_ref().is_some_and(|loan| Some(&loan.borrower) != owner) {
            self.close_open(settings);
        }
    }

    /// Handles the return of a loan of which `kept` is still charged; returns whether it was
    /// returned completely.
    pub(super) fn handle_return(
        &mut self,
        source: &ChargeSource,
        kept: BudgetAmount,
        settings: &ShareSettings,
        now: MonotonicTime,
    ) -> bool {
        if self.open.as_ref().is_some_and(|loan| loan.source == *source) {
            self.close_open(settings);
        }
        let scope = ReconcileScope::Loan(source.clone());
        for loan in self.closed.iter_mut().filter(|loan| loan.usage.scope == scope) {
            loan.usage.record_kept(kept);
            loan.until = now;
            loan.usage.query_from = Some(now + settings.loan_term + settings.loan_term);
        }
        kept == BudgetAmount::default()
    }

    /// Handles the report of a node about what it runs.
    pub(super) fn handle_holdings(
        &mut self,
        from: &NodeId,
        scope: &ReconcileScope,
        held: BudgetAmount,
    ) {
        let loans = self.closed.iter_mut().map(|loan| &mut loan.usage);
        let usages = loans.chain(self.predecessors.values_mut());
        for usage in usages.filter(|usage| usage.scope == *scope) {
            usage.record_answer(from, held);
        }
    }

    /// Handles the report of a holder of earlier epochs about what it still has charged or lent.
    pub(super) fn handle_retired(&mut self, from: &NodeId, epoch: EpochNumber, kept: BudgetAmount) {
        if epoch != self.assignment.epoch {
            return;
        }
        if let Some(usage) = self.predecessors.get_mut(from) {
            usage.record_kept(kept);
        }
    }

    /// Stops using the share, because the newer `epoch` has begun; returns what is still charged or
    /// lent.
    pub(super) fn retire(
        &mut self,
        epoch: EpochNumber,
        settings: &ShareSettings,
        now: MonotonicTime,
    ) -> BudgetAmount {
        if epoch <= self.assignment.epoch {
            return self.earlier_held(now);
        }
        self.retired_for_epoch = self.retired_for_epoch.max(epoch);
        self.close_open(settings);
        let newest = self.closed_held(now, |epoch, newest| epoch == newest);
        self.earlier_held(now).plus(self.own_used).plus(newest)
    }

    /// Records proof that all incarnations of a node before `incarnation` had ended by `seen_at`.
    pub(super) fn record_ended_incarnations(
        &mut self,
        node: &NodeId,
        incarnation: IncarnationNumber,
        settings: &ShareSettings,
        seen_at: MonotonicTime,
    ) {
        if self
            .open
            .as_ref()
            .is_some_and(|loan| loan.borrower == *node && loan.borrower_incarnation < incarnation)
        {
            self.close_open(settings);
        }
        let lent = self.closed.iter_mut().filter(|loan| {
            let borrower = loan.borrower.as_ref();
            borrower.is_some_and(|(name, known)| name == node && *known < incarnation)
        });
        for loan in lent {
            loan.until = loan.until.min(seen_at);
            let query_from = loan.usage.query_from.get_or_insert(seen_at);
            *query_from = (*query_from).min(seen_at);
        }
    }

    /// Records proof that a node was not running at `seen_at`, when all its incarnations so far
    /// were before `incarnation`.
    pub(super) fn record_stopped_node(
        &mut self,
        node: &NodeId,
        incarnation: IncarnationNumber,
        settings: &ShareSettings,
        seen_at: MonotonicTime,
    ) {
        self.record_ended_incarnations(node, incarnation, settings, seen_at);
        let is_after = seen_at >= self.assigned_at;
        if let Some(usage) = self.predecessors.get_mut(node).filter(|_| is_after)
            && usage.query_from.is_none()
        {
            let free_at = seen_at + settings.loan_term + settings.clock_margin;
            let free_at = free_at + settings.start_timeout;
            usage.scope = ReconcileScope::Earlier { lender: node.clone(), incarnation };
            usage.query_from = Some(free_at);
            usage.free_at = Some(free_at + settings.drain_time());
        }
        let loans = self.closed.iter_mut().map(|loan| &mut loan.usage);
        for usage in loans.chain(self.predecessors.values_mut()) {
            usage.record_stopped_node(node, seen_at, settings.orphan_hold);
        }
    }

    /// Charges a grant of this node to its own share.
    pub(super) fn charge_own(&mut self, amount: BudgetAmount) {
        self.own_used = self.own_used.plus(amount);
    }

    /// Credits this node's own share with an amount that was charged to it under `epoch`.
    pub(super) fn credit_own(&mut self, epoch: EpochNumber, amount: BudgetAmount) {
        if epoch == self.assignment.epoch {
            self.own_used = self.own_used.minus(amount);
        } else {
            self.earlier_used = self.earlier_used.minus(amount);
        }
    }

    /// Closes an expired loan, removes what is no longer in use, and returns the due messages.
    pub(super) fn tick(
        &mut self,
        settings: &ShareSettings,
        now: MonotonicTime,
    ) -> Vec<(NodeId, ShareMessage)> {
        if self.open.as_ref().is_some_and(|loan| now >= loan.until) {
            self.close_open(settings);
        }
        let loans = self.closed.iter_mut().map(|loan| &mut loan.usage);
        for usage in loans.chain(self.predecessors.values_mut()) {
            usage.count_stopped(now);
        }
        self.closed.retain(|loan| !loan.usage.is_free(now));
        self.predecessors.retain(|_, usage| !usage.is_free(now));
        let mut messages = self.reconcile_requests(now);
        messages.extend(self.recall_requests(now));
        messages.extend(self.retire_requests());
        messages
    }

    fn close_open(&mut self, settings: &ShareSettings) {
        let Some(loan) = self.open.take() else {
            return;
        };
        let scope = ReconcileScope::Loan(loan.source);
        let mut usage = OutstandingUsage::new(scope, loan.amount, &self.assignment.nodes);
        usage.query_from = Some(loan.until);
        usage.free_at = Some(loan.until + settings.drain_time());
        let (epoch, borrower) =
            (self.assignment.epoch, Some((loan.borrower, loan.borrower_incarnation)));
        self.closed.push(ClosedLoan { epoch, borrower, until: loan.until, usage });
    }

    fn count_earlier_incarnations(
        &mut self,
        local: &LocalNode,
        settings: &ShareSettings,
        now: MonotonicTime,
    ) {
        let epoch = self.assignment.epoch;
        let predecessors = &self.assignment.predecessors;
        let earlier = predecessors.iter().find(|(node, _)| *node == local.node);
        let earlier = earlier.map(|(_, bound)| *bound).unwrap_or_default();
        for (epoch, bound) in [(epoch, self.share), (epoch.saturating_sub(1), earlier)] {
            let usage = self.earlier_incarnation_usage(local, bound, settings, now);
            self.closed.push(ClosedLoan { epoch, borrower: None, until: now, usage });
        }
    }

    fn add_predecessors(&mut self, local: &LocalNode) {
        let predecessors = self.assignment.predecessors.clone();
        for (node, bound) in predecessors.into_iter().filter(|(node, _)| *node != local.node) {
            self.track_predecessor(node, bound);
        }
    }

    fn track_predecessor(&mut self, node: NodeId, bound: BudgetAmount) {
        let known = self.predecessors.get(&node);
        let unresolved = known.map(|usage| usage.bound).unwrap_or_default();
        let scope = ReconcileScope::Earlier { lender: node.clone(), incarnation: 0 };
        let bound = bound.plus(unresolved);
        let usage = OutstandingUsage::new(scope, bound, &self.assignment.nodes);
        self.predecessors.insert(node, usage);
    }

    fn earlier_incarnation_usage(
        &self,
        local: &LocalNode,
        bound: BudgetAmount,
        settings: &ShareSettings,
        now: MonotonicTime,
    ) -> OutstandingUsage {
        let scope =
            ReconcileScope::Earlier { lender: local.node.clone(), incarnation: local.incarnation };
        let mut usage = OutstandingUsage::new(scope, bound, &self.assignment.nodes);
        usage.query_from = Some(now + settings.loan_term + settings.clock_margin);
        usage.free_at = Some(now + settings.loan_term + settings.drain_time());
        usage
    }
}

impl ShareHolder {
    /// Returns whether the share may be used, apart from what is still in use elsewhere.
    pub(super) fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Returns the current assignment.
    pub(super) fn assignment(&self) -> &ShareAssignment {
        &self.assignment
    }

    /// Returns the part of the share that is neither used nor lent, nor left unused for earlier
    /// epochs.
    pub(super) fn own_free(&self, now: MonotonicTime) -> BudgetAmount {
        if !self.is_confirmed || self.retired_for_epoch > self.assignment.epoch {
            return BudgetAmount::default();
        }
        let lent = self.open.as_ref().map(|loan| loan.amount).unwrap_or_default();
        let used =
            self.own_used.plus(lent).plus(self.closed_held(now, |epoch, newest| epoch == newest));
        self.share.minus(used).minus(self.deductions(now))
    }

    /// Returns what is still in use of the shares of this node from earlier epochs.
    pub(super) fn earlier_held(&self, now: MonotonicTime) -> BudgetAmount {
        self.earlier_used.plus(self.closed_held(now, |epoch, newest| epoch < newest))
    }

    fn closed_held(
        &self,
        now: MonotonicTime,
        counts: impl Fn(EpochNumber, EpochNumber) -> bool,
    ) -> BudgetAmount {
        let newest = self.assignment.epoch;
        let loans = self.closed.iter().filter(|loan| counts(loan.epoch, newest));
        loans.fold(BudgetAmount::default(), |sum, loan| sum.plus(loan.usage.held(now)))
    }

    /// Returns the part of the share that must stay unused, because shares of earlier epochs are
    /// still in use.
    fn deductions(&self, now: MonotonicTime) -> BudgetAmount {
        let others = self.predecessors.values().map(|usage| usage.held(now));
        let held = others.chain([self.earlier_held(now)]);
        let parts = held.map(|held| self.assignment.deduction(held));
        parts.fold(BudgetAmount::default(), BudgetAmount::plus)
    }
}

//! Attempts that this node runs, and the loans and shares that they are charged to.

use std::collections::HashMap;

use super::ChargeError;
use super::ChargeSource;
use super::GrantCharge;
use super::ReconcileScope;
use crate::admission::BudgetAmount;
use crate::types::AttemptId;
use crate::types::EndpointId;
use crate::types::IncarnationNumber;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Tracks the charges of the attempts that this node runs, and the scopes that are closed here.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldCharges {
    running: HashMap<AttemptId, GrantCharge>,
    closed_loans: HashMap<(EndpointId, ChargeSource), MonotonicTime>,
    closed_incarnations: HashMap<(EndpointId, NodeId), IncarnationNumber>,
}

impl HeldCharges {
    /// Accepts a grant, unless a loan or share that it is charged to was closed here.
    pub(super) fn accept(&mut self, charge: GrantCharge) -> Result<(), ChargeError> {
        self.check(&charge)?;
        self.running.insert(charge.attempt, charge);
        Ok(())
    }

    /// Removes an attempt that no longer holds memory at its endpoint.
    pub(super) fn finish(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
    }

    /// Closes a scope, so that no further grants charged to it are accepted, and returns the total
    /// of the running attempts that are charged to it.
    pub(super) fn close(
        &mut self,
        endpoint: &EndpointId,
        scope: &ReconcileScope,
        now: MonotonicTime,
    ) -> BudgetAmount {
        match scope {
            ReconcileScope::Loan(source) => {
                self.closed_loans.insert((endpoint.clone(), source.clone()), now);
            },
            ReconcileScope::Earlier { lender, incarnation } => {
                let key = (endpoint.clone(), lender.clone());
                let closed = self.closed_incarnations.entry(key).or_insert(*incarnation);
                *closed = (*closed).max(*incarnation);
            },
        }
        let charges = self.running.values().filter(|charge| charge.endpoint == *endpoint);
        let parts = charges.flat_map(|charge| &charge.parts);
        let covered = parts.filter(|part| scope.covers(&part.source));
        covered.fold(BudgetAmount::default(), |sum, part| sum.plus(part.amount))
    }

    /// Removes the records of loans that were closed before `time`.
    pub(super) fn remove_closed_before(&mut self, time: MonotonicTime) {
        self.closed_loans.retain(|_, closed_at| *closed_at >= time);
    }
}

impl HeldCharges {
    /// Checks that no loan or share that a grant is charged to was closed here.
    pub(super) fn check(&self, charge: &GrantCharge) -> Result<(), ChargeError> {
        let closed = charge.parts.iter().find(|part| self.is_closed(charge, &part.source));
        if let Some(part) = closed {
            return Err(ChargeError::SourceClosed { source_loan: part.source.clone() });
        }
        Ok(())
    }

    fn is_closed(&self, charge: &GrantCharge, source: &ChargeSource) -> bool {
        let loan_key = (charge.endpoint.clone(), source.clone());
        let lender_key = (charge.endpoint.clone(), source.lender.clone());
        let closed_incarnation = self.closed_incarnations.get(&lender_key);
        self.closed_loans.contains_key(&loan_key)
            || closed_incarnation.is_some_and(|incarnation| source.incarnation < *incarnation)
    }
}

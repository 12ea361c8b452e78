//! What this node itself runs, and by whose shares.

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

/// Tracks the attempts that this node runs, by the sources that they are charged to.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldCharges {
    running: HashMap<AttemptId, GrantCharge>,
    closed_loans: HashMap<(EndpointId, ChargeSource), MonotonicTime>,
    closed_incarnations: HashMap<(EndpointId, NodeId), IncarnationNumber>,
}

// Commands.
impl HeldCharges {
    /// Accepts a grant unless one of its sources was closed here.
    pub(super) fn accept(&mut self, charge: GrantCharge) -> Result<(), ChargeError> {
        self.check(&charge)?;
        self.running.insert(charge.attempt, charge);
        Ok(())
    }

    /// Ends an attempt that holds nothing any more.
    pub(super) fn finish(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
    }

    /// Closes a scope and returns what runs here by it.
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

    /// Forgets loans closed before `moment`.
    pub(super) fn forget_closed(&mut self, moment: MonotonicTime) {
        self.closed_loans.retain(|_, closed_at| *closed_at >= moment);
    }
}

// Queries.
impl HeldCharges {
    /// Checks that no source of a grant was closed here.
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

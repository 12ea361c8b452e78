//! Messages between nodes about budget shares.

use std::time::Duration;

use super::ChargeSource;
use crate::admission::BudgetAmount;
use crate::types::EndpointId;
use crate::types::EpochNumber;
use crate::types::IncarnationNumber;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Selects the charges that a reconcile request is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReconcileScope {
    /// Charges to one loan.
    Loan(ChargeSource),
    /// Charges to shares of `lender` from incarnations before `incarnation`.
    Earlier {
        /// Node that held the share.
        lender: NodeId,
        /// First incarnation that is not covered.
        incarnation: IncarnationNumber,
    },
}

impl ReconcileScope {
    /// Returns whether the scope covers charges to `source`.
    pub fn covers(&self, source: &ChargeSource) -> bool {
        match self {
            Self::Loan(loan) => loan == source,
            Self::Earlier { lender, incarnation } => {
                source.lender == *lender && source.incarnation < *incarnation
            },
        }
    }
}

/// Message to the share ledger of another node about the shares of one endpoint.
///
/// The protocol tolerates that messages are lost, repeated, delayed or reordered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShareMessage {
    /// Request of a pool owner to a holder: lend the share, or extend the loan.
    Borrow {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Epoch of the assignment that the owner uses.
        epoch: EpochNumber,
        /// Time of the request on the clock of the borrower.
        requested_at: MonotonicTime,
        /// Incarnation of the borrower.
        incarnation: IncarnationNumber,
    },
    /// Reply of a holder that lends its share.
    Lend {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Epoch of the assignment that the share belongs to.
        epoch: EpochNumber,
        /// Loan that the message is about.
        loan: ChargeSource,
        /// Total amount of the loan, including what was lent under the same id before.
        amount: BudgetAmount,
        /// Term of the loan, counted from `requested_at`.
        term: Duration,
        /// Time of the request on the clock of the borrower, copied from the request.
        requested_at: MonotonicTime,
        /// Incarnation of the borrower, copied from the request.
        incarnation: IncarnationNumber,
    },
    /// Request of a holder to the borrower: close the loan and return it.
    Recall {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Loan that the message is about.
        loan: ChargeSource,
    },
    /// Report of a borrower that it closed a loan, of which only `kept` is still charged.
    Return {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Loan that the message is about.
        loan: ChargeSource,
        /// Amount that is still charged.
        kept: BudgetAmount,
    },
    /// Acknowledgement of a holder that a loan was returned completely.
    Returned {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Loan that the message is about.
        loan: ChargeSource,
    },
    /// Request of a holder to a node: report the running attempts that are charged to the scope,
    /// and accept no further grants that are charged to it.
    Reconcile {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Charges that the message is about.
        scope: ReconcileScope,
    },
    /// Reply of a node with the total of its running attempts that are charged to the scope.
    Holdings {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Charges that the message is about.
        scope: ReconcileScope,
        /// Total of the running attempts.
        held: BudgetAmount,
    },
    /// Request of a holder of a new epoch to a holder of earlier epochs: stop using the share.
    Retire {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// The new epoch, as in the request to retire.
        epoch: EpochNumber,
    },
    /// Reply of a holder of earlier epochs that stopped using its share, of which only `kept` is
    /// still charged or lent.
    Retired {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// The new epoch, as in the request to retire.
        epoch: EpochNumber,
        /// Amount that is still charged or lent.
        kept: BudgetAmount,
    },
}

/// Describes what a node must do for its share ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShareAction {
    /// Send a message to another node.
    Send {
        /// Node to send to.
        to: NodeId,
        /// Message to send.
        message: ShareMessage,
    },
}

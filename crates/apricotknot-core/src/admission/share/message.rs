//! What nodes tell each other about budget shares.

use std::time::Duration;

use super::ChargeSource;
use crate::admission::BudgetAmount;
use crate::types::EndpointId;
use crate::types::EpochNumber;
use crate::types::IncarnationNumber;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Names the charges that a question is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReconcileScope {
    /// Charges to one loan.
    Loan(ChargeSource),
    /// Charges to shares of `lender` from lives before `incarnation`.
    Earlier {
        /// Node that held the share.
        lender: NodeId,
        /// First life that is not meant.
        incarnation: IncarnationNumber,
    },
}

impl ReconcileScope {
    /// Returns whether the scope covers a source.
    pub fn covers(&self, source: &ChargeSource) -> bool {
        match self {
            Self::Loan(loan) => loan == source,
            Self::Earlier { lender, incarnation } => {
                source.lender == *lender && source.incarnation < *incarnation
            },
        }
    }
}

/// Tells another node's ledger something about one endpoint's shares.
///
/// Any message may be lost, repeated, delayed or overtaken by another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShareMessage {
    /// An owner asks a holder to lend its share, or to extend the loan.
    Borrow {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Epoch that the owner works under.
        epoch: EpochNumber,
        /// Moment of the question on the asking node's clock.
        requested_at: MonotonicTime,
        /// Life of the asking node.
        incarnation: IncarnationNumber,
    },
    /// A holder lends.
    Lend {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Epoch of the share.
        epoch: EpochNumber,
        /// Names the loan.
        loan: ChargeSource,
        /// The whole loan, with what was lent under the same name before.
        amount: BudgetAmount,
        /// Time for which it is lent, counted from `requested_at`.
        term: Duration,
        /// Moment of the question, as the asking node gave it.
        requested_at: MonotonicTime,
        /// Life of the asking node, as it gave it.
        incarnation: IncarnationNumber,
    },
    /// A holder wants a loan back.
    Recall {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Names the loan.
        loan: ChargeSource,
    },
    /// A borrower has closed a loan; only `kept` of it is still charged.
    Return {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Names the loan.
        loan: ChargeSource,
        /// What is still charged.
        kept: BudgetAmount,
    },
    /// A holder has taken in that a loan was returned completely.
    Returned {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Names the loan.
        loan: ChargeSource,
    },
    /// A holder asks what a node runs that is charged to its share, and closes the source there.
    Reconcile {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Names the charges.
        scope: ReconcileScope,
    },
    /// A node says what it runs.
    Holdings {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Names the charges.
        scope: ReconcileScope,
        /// What it runs.
        held: BudgetAmount,
    },
    /// A holder of a new epoch asks a holder of earlier epochs to stop using its share.
    Retire {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// The new epoch.
        epoch: EpochNumber,
    },
    /// A holder of earlier epochs has stopped; only `kept` is still charged or lent.
    Retired {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// The new epoch.
        epoch: EpochNumber,
        /// What is still charged or lent.
        kept: BudgetAmount,
    },
}

/// Asks for something on behalf of a node's ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShareAction {
    /// Pass a message to another node.
    Send {
        /// Names the node.
        to: NodeId,
        /// The message.
        message: ShareMessage,
    },
}

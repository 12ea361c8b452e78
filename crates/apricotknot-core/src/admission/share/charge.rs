//! Charges of grants to loans and shares.

use std::time::Duration;

use thiserror::Error;

use crate::admission::BudgetAmount;
use crate::types::AttemptId;
use crate::types::EndpointId;
use crate::types::IncarnationNumber;
use crate::types::NodeId;

/// Identifies a loan, or the holder's own use of its share.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChargeSource {
    /// Node that holds the share.
    pub lender: NodeId,
    /// Incarnation of that node that made the loan.
    pub incarnation: IncarnationNumber,
    /// Number of the loan within that incarnation, from 1; 0 for the holder's own use.
    pub number: u64,
}

/// Holds the part of a grant that is charged to one source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChargePart {
    /// Loan or share that is charged.
    pub source: ChargeSource,
    /// Amount that is charged to it.
    pub amount: BudgetAmount,
}

/// Lists what one grant is charged to. It is sent with the grant to the node that runs the attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantCharge {
    /// Attempt that the grant is for.
    pub attempt: AttemptId,
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Parts of the charge; their sum is the granted amount.
    pub parts: Vec<ChargePart>,
}

/// States why a grant could not be charged or accepted.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ChargeError {
    /// The own share and the loans of this node do not suffice.
    #[error("grant needs {wanted:?}, shares allow only {usable:?}; wait for further loans")]
    NotEnough {
        /// Amount that may be charged now.
        usable: BudgetAmount,
        /// Amount of the grant.
        wanted: BudgetAmount,
    },
    /// The attempt may last longer than the limit for charged attempts.
    #[error("attempt may last {wanted:?}, at most {allowed:?} allowed; use an earlier deadline")]
    TooLong {
        /// Longest time that the attempt may last.
        wanted: Duration,
        /// Longest time that is allowed.
        allowed: Duration,
    },
    /// The node is not in the member list, so that no holder would query it for what it runs.
    #[error("node {node} is not in the member list of the current epoch; wait for the next epoch")]
    UnknownNode {
        /// Name of the node.
        node: NodeId,
    },
    /// A loan or share of the charge was closed at this node before the grant arrived.
    #[error("loan {number} of node {lender} is closed; request a new grant", number = source_loan.number, lender = source_loan.lender)]
    SourceClosed {
        /// Closed loan or share.
        source_loan: ChargeSource,
    },
}

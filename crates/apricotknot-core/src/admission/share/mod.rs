//! Shares of the budgets of endpoints, held by nodes and lent to the owners of pools.
//!
//! The budget of each endpoint is split into shares that a few nodes hold. A holder lends its share
//! for a bounded term to the node that it believes to own the pool. It counts the loan as used
//! until it knows that everything charged to the loan has ended. Two nodes that both believe to own
//! the pool therefore never grant more than the budget together, and a partitioned node can still
//! use its own share.

mod assignment;
mod borrowing;
mod charge;
mod exchange;
mod holder_messages;
mod holdings;
mod ledger;
mod lending;
mod message;
mod outstanding;
mod settings;

pub use assignment::AssignmentOrigin;
pub use assignment::ShareAssignment;
pub use charge::ChargeError;
pub use charge::ChargePart;
pub use charge::ChargeSource;
pub use charge::GrantCharge;
pub use ledger::ShareLedger;
pub use message::ReconcileScope;
pub use message::ShareAction;
pub use message::ShareMessage;
pub use settings::ShareSettings;

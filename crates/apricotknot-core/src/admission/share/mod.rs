//! Shares of endpoints' budgets, held by nodes and lent to the owners of pools.
//!
//! Each endpoint's budget is split into shares held by a few nodes. A holder lends its share for
//! a bounded term to the node that it believes owns the pool, and counts the loan as used until
//! it knows that everything charged to it has ended. Two owners can therefore never hand out more
//! than the budget, whatever they believe, and a node that is cut off still has its own share.

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

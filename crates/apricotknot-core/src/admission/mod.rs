//! Admission control: decides which request runs on which endpoint, when, and with how much memory.
//!
//! [`PoolScheduler`] is the state machine that the owner of a pool runs. Submissions, outcomes of
//! attempts and endpoint changes are its input ([`PoolEvent`]); grants, refusals and cancellations
//! are its output ([`PoolAction`]). It does no I/O and reads no clock.
//!
//! [`ShareLedger`] splits the budget of each endpoint between nodes, so that two nodes that both
//! believe to own a pool cannot exceed it.

mod account;
mod action;
mod attempts;
mod budget;
mod capacity_log;
mod dispatch;
mod endpoint_events;
mod estimate;
mod event;
mod explain;
mod grant_rate;
mod queue;
mod scheduled_endpoint;
mod scheduler;
mod settings;
mod share;
mod shortage;
mod submission;
mod timers;
mod warmup;

pub use account::AccountLimits;
pub use action::GrantTicket;
pub use action::PlacementReason;
pub use action::PoolAction;
pub use action::RefusalNotice;
pub use action::RefusalReason;
pub use budget::BudgetAmount;
pub use budget::EndpointCapacity;
pub use event::CacheChange;
pub use event::LoadReport;
pub use event::PoolEvent;
pub use event::RequestSubmission;
pub use event::TokenUsage;
pub use explain::DecisionOutcome;
pub use explain::DecisionRecord;
pub use explain::HolderUsage;
pub use explain::ScarceResource;
pub use explain::ShortageRecord;
pub use scheduler::PoolScheduler;
pub use settings::PoolSettings;
pub use share::AssignmentOrigin;
pub use share::ChargeError;
pub use share::ChargePart;
pub use share::ChargeSource;
pub use share::GrantCharge;
pub use share::ReconcileScope;
pub use share::ShareAction;
pub use share::ShareAssignment;
pub use share::ShareLedger;
pub use share::ShareMessage;
pub use share::ShareSettings;

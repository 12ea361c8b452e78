//! Tracks what became of each attempt and what may be told to its caller.
//!
//! [`RequestTracker`] holds one state per attempt and is the only place that turns those states
//! into the one outcome of a request. [`CallerError`] is the catalogue of refusals and failures.

mod action;
mod budget;
mod completion;
mod error;
mod event;
mod kind;
mod state;
mod tracker;

pub use action::DropReason;
pub use action::FinalOutcome;
pub use action::RequestAction;
pub use budget::RetryBudget;
pub use error::CallerError;
pub use event::LossCause;
pub use event::RequestEvent;
pub use kind::CallerErrorKind;
pub use state::AttemptState;
pub use state::DropCounts;
pub use state::TrackerPolicy;
pub use tracker::RequestTracker;

//! Outcomes of requests: tracks the attempts of each request and decides what its caller receives.
//!
//! [`RequestTracker`] keeps the state of the current attempt and is the only place that derives the
//! outcome of a request from it. [`CallerErrorKind`] lists every refusal and failure that a caller
//! may receive.

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
